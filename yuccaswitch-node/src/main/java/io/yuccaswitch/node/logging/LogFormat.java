package io.yuccaswitch.node.logging;

/** The format of log lines. */
public enum LogFormat {
    /** As pairs of keys and values. */
    KEY_VALUE,
    /** As one JSON object per line. */
    JSON
}
