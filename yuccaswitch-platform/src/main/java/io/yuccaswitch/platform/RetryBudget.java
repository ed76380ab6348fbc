package io.yuccaswitch.platform;

/** A budget that limits retries to a share of the calls. Each call earns a fraction of a retry. */
final class RetryBudget {

    /** The maximum number of retries that can accumulate. */
    private static final double MAXIMUM_RETRIES = 10;

    /** The number of retries that each call earns. */
    private final double retriesPerCall;

    /** The number of available retries. */
    private double available = MAXIMUM_RETRIES;

    /**
     * Creates a full budget.
     *
     * @param retriesPerCall The number of retries that each call earns.
     */
    RetryBudget(double retriesPerCall) {
        this.retriesPerCall = retriesPerCall;
    }

    /** Counts a call that is not a retry. */
    synchronized void earn() {
        available = Math.min(MAXIMUM_RETRIES, available + retriesPerCall);
    }

    /**
     * Takes a retry from the budget.
     *
     * @return {@code true} if the retry is allowed.
     */
    synchronized boolean tryTake() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
