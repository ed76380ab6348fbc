package io.yuccaswitch.platform;

import java.util.Locale;

/** The outcomes of attempts, for the metrics and for the decisions of the circuit and on retries. */
enum Outcome {
    /** The platform answered the call. The answer may be that an object does not exist. */
    ANSWERED(true, false),
    /** The platform rejected a write because the object had a different version. */
    CONFLICT(true, false),
    /** The platform rejected the call because of a rate limit. */
    RATE_LIMITED(true, true),
    /** The platform rejected the call permanently, such as for an invalid token. */
    REJECTED(true, false),
    /** The platform failed, or no valid answer was received. */
    FAILED(false, true),
    /** The platform answered, but its answer can't be read. */
    UNREADABLE(false, true),
    /** The call was not sent because the client's rate limit was reached. */
    BUDGET_EXHAUSTED(true, false),
    /** The call was not sent because the circuit is open. */
    CIRCUIT_OPEN(true, false),
    /** The call was not sent because its value exceeds the maximum size. */
    TOO_LARGE(true, false);

    /** Whether the outcome is not a failure of the platform. */
    private final boolean healthy;

    /** Whether a read may be retried after this outcome. */
    private final boolean retryable;

    /**
     * Creates an outcome.
     *
     * @param healthy Whether the outcome is not a failure of the platform.
     * @param retryable Whether a read may be retried after this outcome.
     */
    Outcome(boolean healthy, boolean retryable) {
        this.healthy = healthy;
        this.retryable = retryable;
    }

    /**
     * Returns whether the outcome is not a failure of the platform.
     *
     * @return {@code true} if the circuit does not treat the outcome as a failure.
     */
    boolean isHealthy() {
        return healthy;
    }

    /**
     * Returns whether a read may be retried after this outcome.
     *
     * @return {@code true} if a read may be retried.
     */
    boolean isRetryable() {
        return retryable;
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
