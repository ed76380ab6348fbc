package io.yuccaswitch.core.retry;

/**
 * A budget that bounds further attempts to a share of the requests: each new request deposits the share, each further
 * attempt withdraws one.
 *
 * @param balance The number of further attempts that are allowed now.
 */
public record RetryBudget(double balance) {

    /** The largest balance, which bounds the burst of further attempts when an outage begins. */
    private static final double MAXIMUM_BALANCE = 32;

    /** The balance that a pool begins with. */
    private static final double INITIAL_BALANCE = 4;

    /** Creates a budget for a pool that was not used yet. */
    public RetryBudget() {
        this(INITIAL_BALANCE);
    }

    /**
     * Returns the budget after a new request.
     *
     * @param ratio The share of requests that may be tried again.
     * @return The changed budget.
     */
    public RetryBudget deposit(double ratio) {
        return new RetryBudget(Math.min(MAXIMUM_BALANCE, balance + ratio));
    }

    /**
     * Returns whether a further attempt is allowed.
     *
     * @return {@code true} if a further attempt is allowed.
     */
    public boolean allows() {
        return balance >= 1;
    }

    /**
     * Returns the budget after a further attempt.
     *
     * @return The changed budget.
     */
    public RetryBudget withdraw() {
        return new RetryBudget(Math.max(0, balance - 1));
    }
}
