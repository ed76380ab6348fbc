package io.yuccaswitch.testkit.proxy;

/** The ways in which a link handles connections. */
public enum LinkMode {
    /** Accepts connections and forwards data. */
    PASS,
    /** Refuses new connections. Existing connections are not affected. */
    REFUSE,
    /**
     * Accepts connections and forwards no data. Data that is sent in the meantime is delivered when the link passes
     * again.
     */
    BLACKHOLE
}
