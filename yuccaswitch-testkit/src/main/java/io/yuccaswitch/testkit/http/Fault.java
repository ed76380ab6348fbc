package io.yuccaswitch.testkit.http;

import java.util.Locale;

/**
 * A fault that can be injected into a stand-in. Its value is a switch (0 or 1), a quantity, or a remaining number of
 * occurrences.
 */
public enum Fault {
    /** The milliseconds by which each answer is delayed. */
    DELAY_MILLIS,
    /** Whether all answers are suspended. */
    FROZEN,
    /** Whether the endpoint is leaving: it refuses new work and finishes what it has. */
    LEAVING,
    /** The number of requests that are refused without running. */
    REFUSALS,
    /** The number of requests whose connection is closed before they run. */
    RESETS_BEFORE_RUN,
    /** The number of requests that run and whose connection is closed without an answer. */
    RESETS_AFTER_RUN,
    /** The number of answers whose connection is closed before the end of the body. */
    CUT_ANSWERS,
    /** The number of answers during which the process crashes. */
    DEATHS,
    /** The number of bytes of the body after which an answer is truncated or the process crashes. */
    CUT_AFTER_BYTES,
    /** The number of answers that carry the identifier of another request. */
    CROSSED_ANSWERS,
    /** The number of answers whose announced content length exceeds the body. */
    WRONG_LENGTH_ANSWERS,
    /** The number of orders whose weight swap fails; all orders if negative. */
    SWAP_FAILURES,
    /** The number of orders that report success but keep the old weights; all orders if negative. */
    SWAP_CLAIMS,
    /** The number of swaps after which the load report names the new version although the old weights stay in use. */
    SWAP_LOAD_CLAIMS,
    /** Whether answers omit the weight versions that were used. */
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
