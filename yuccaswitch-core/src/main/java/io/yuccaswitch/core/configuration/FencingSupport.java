package io.yuccaswitch.core.configuration;

/** Whether endpoints reject orders with an old fencing number. */
public enum FencingSupport {
    /** Endpoints reject such orders. */
    CHECKED,
    /** Endpoints accept any order. */
    IGNORED
}
