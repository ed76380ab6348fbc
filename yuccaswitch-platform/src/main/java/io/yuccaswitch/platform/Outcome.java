package io.yuccaswitch.platform;

import java.util.Locale;

/** The outcomes of calls, as they are counted and acted upon. */
enum Outcome {
    /** The platform answered what was asked, which may be that an object does not exist. */
    ANSWERED(true, false),
    /** The platform refused a write because the object's version was another one. */
    CONFLICT(true, false),
    /** The platform refused the call because of a rate limit. */
    RATE_LIMITED(true, true),
    /** The platform refused the call for good, such as for a wrong token. */
    REJECTED(true, false),
    /** The platform failed, or no usable answer arrived. */
    FAILED(false, true),
    /** The call was not sent because the client's rate was exhausted. */
    BUDGET_EXHAUSTED(true, false),
    /** The call was not sent because the circuit is open. */
    CIRCUIT_OPEN(true, false),
    /** The call was not sent because its value is too large. */
    TOO_LARGE(true, false);

    /** Whether the outcome says nothing against the platform. */
    private final boolean healthy;

    /** Whether a read is worth repeating. */
    private final boolean repeatable;

    /**
     * Creates an outcome.
     *
     * @param healthy Whether the outcome says nothing against the platform.
     * @param repeatable Whether a read is worth repeating.
     */
    Outcome(boolean healthy, boolean repeatable) {
        this.healthy = healthy;
        this.repeatable = repeatable;
    }

    /**
     * Returns whether the outcome says nothing against the platform.
     *
     * @return {@code true} if it does not count as a failure.
     */
    boolean isHealthy() {
        return healthy;
    }

    /**
     * Returns whether a read is worth repeating.
     *
     * @return {@code true} if it is.
     */
    boolean isRepeatable() {
        return repeatable;
    }

    /**
     * Returns the name in metrics.
     *
     * @return The name in lower case.
     */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
