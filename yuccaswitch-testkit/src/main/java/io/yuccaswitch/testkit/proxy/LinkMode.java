package io.yuccaswitch.testkit.proxy;

/** What a link does with connections. */
public enum LinkMode {
    /** It accepts connections and forwards bytes. */
    PASS,
    /** It refuses new connections. Existing ones go on. */
    REFUSE,
    /** It accepts connections and forwards nothing. What was sent meanwhile arrives once the link passes again. */
    BLACKHOLE
}
