package io.yuccaswitch.testkit.platform;

/** The kinds of outages. */
public enum Outage {
    /** The stand-in serves calls normally. */
    NONE,
    /** The stand-in answers each call with status 503. */
    ERROR,
    /** The stand-in accepts calls and never answers. */
    SILENT
}
