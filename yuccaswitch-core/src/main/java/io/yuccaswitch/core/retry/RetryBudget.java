package io.yuccaswitch.core.retry;

/**
 * A budget that limits retries to a share of the requests: each new request deposits the share, and each retry
 * withdraws one.
 *
 * @param balance The number of retries that are currently allowed.
 */
public record RetryBudget(double balance) {

    /** The maximum balance, which limits the burst of retries when an outage begins. */
    private static final double MAXIMUM_BALANCE = 32;

    /** The initial balance of a pool. */
    private static final double INITIAL_BALANCE = 4;

    /** Creates the budget of an unused pool. */
    public RetryBudget() {
        this(INITIAL_BALANCE);
    }

    /**
     * Returns the budget after a new request.
     *
     * @param ratio The share of requests that may be retried.
     * @return The updated budget.
     */
    public RetryBudget deposit(double ratio) {
        return new RetryBudget(Math.min(MAXIMUM_BALANCE, balance + ratio));
    }

    /**
     * Returns whether a retry is allowed.
     *
     * @return {@code true} if a retry is allowed.
     */
    public boolean allows() {
        return balance >= 1;
    }

    /**
     * Returns the budget after a retry.
     *
     * @return The updated budget.
     */
    public RetryBudget withdraw() {
        return new RetryBudget(Math.max(0, balance - 1));
    }
}
