package io.yuccaswitch.core.configuration;

/** Whether endpoints refuse orders that bear an old fencing number. */
public enum FencingSupport {
    /** Endpoints refuse such orders. */
    CHECKED,
    /** Endpoints take any order. */
    IGNORED
}
