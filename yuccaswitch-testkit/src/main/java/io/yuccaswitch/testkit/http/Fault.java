package io.yuccaswitch.testkit.http;

import java.util.Locale;

/** A fault that a stand-in causes on order. Its value is a switch (0 or 1), a quantity, or the number of times left. */
public enum Fault {
    /** The milliseconds that each answer is delayed by. */
    DELAY_MILLIS,
    /** Whether no answer goes on at all. */
    FROZEN,
    /** Whether the endpoint is leaving: it refuses new work and finishes what it has. */
    LEAVING,
    /** The number of requests that are refused without running. */
    REFUSALS,
    /** The number of requests whose connection is closed before they run. */
    RESETS_BEFORE_RUN,
    /** The number of requests that run and whose connection is closed without an answer. */
    RESETS_AFTER_RUN,
    /** The number of answers whose connection is closed in their midst. */
    CUT_ANSWERS,
    /** The number of answers in whose midst the whole process dies. */
    DEATHS,
    /** The number of bytes of the body after which an answer is cut or the process dies. */
    CUT_AFTER_BYTES,
    /** The number of answers that bear another request's identifier. */
    CROSSED_ANSWERS,
    /** The number of answers that announce more bytes than they have. */
    WRONG_LENGTH_ANSWERS,
    /** The number of orders whose swap of weights fails, all of them if negative. */
    SWAP_FAILURES,
    /** The number of orders that claim success and keep the old weights, all of them if negative. */
    SWAP_CLAIMS,
    /** The number of swaps after which the load report claims the new version and the old weights stay. */
    SWAP_LOAD_CLAIMS,
    /** Whether answers don't say which weight versions were used. */
    UNREPORTED_VERSIONS;

    /**
     * Returns the name of this fault in the control interface.
     *
     * @return The name in lower case with hyphens.
     */
    public String key() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a fault by its name in the control interface.
     *
     * @param key The name in lower case with hyphens.
     * @return The fault.
     */
    public static Fault ofKey(String key) {
        return valueOf(key.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
