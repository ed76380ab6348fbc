package io.yuccaswitch.platform;

/** The repetitions that may be made now, earned by the calls that are made anyway. */
final class RetryBudget {

    /** The largest number of repetitions that can be saved. */
    private static final double CAPACITY = 10;

    /** The repetitions that each call earns. */
    private final double share;

    /** The repetitions that may be made now. */
    private double available = CAPACITY;

    /**
     * Creates a full budget.
     *
     * @param share The repetitions that each call earns.
     */
    RetryBudget(double share) {
        this.share = share;
    }

    /** Counts a call that is no repetition. */
    synchronized void earn() {
        available = Math.min(CAPACITY, available + share);
    }

    /**
     * Takes a repetition.
     *
     * @return {@code true} if it may be made.
     */
    synchronized boolean tryTake() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
