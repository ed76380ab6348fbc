package io.yuccaswitch.node.logging;

/** How log lines are written. */
public enum LogFormat {
    /** As pairs of keys and values. */
    KEY_VALUE,
    /** As one JSON object a line. */
    JSON
}
