package io.yuccaswitch.testkit.platform;

/** How the stand-in is out of service. */
public enum Outage {
    /** It serves. */
    NONE,
    /** It answers each call with 503. */
    ERROR,
    /** It accepts calls and never answers. */
    SILENT
}
