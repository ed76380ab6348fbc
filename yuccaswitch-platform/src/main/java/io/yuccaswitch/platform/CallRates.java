package io.yuccaswitch.platform;

/**
 * The rate limits for calls of one client to the platform.
 *
 * @param writesPerSecond The maximum number of writes and deletions per second.
 * @param readsPerSecond The maximum number of reads, lists and watches per second.
 */
public record CallRates(double writesPerSecond, double readsPerSecond) {

    /** The default rates, which leave enough capacity at the platform for all nodes of a small site. */
    public static final CallRates DEFAULT = new CallRates(40, 200);

    /** The minimum rate per second, at which a node of a large fleet can still renew several leases. */
    private static final double MINIMUM_PER_SECOND = 5;

    /** Checks the rates. */
    public CallRates {
        if (!(writesPerSecond > 0) || !(readsPerSecond > 0)) {
            throw new IllegalArgumentException("Rates must be positive: " + writesPerSecond + ", " + readsPerSecond);
        }
    }

    /**
     * Returns an equal share for one client.
     *
     * @param clients The number of clients that share these rates.
     * @return The share, which is never below the minimum rate.
     */
    public CallRates shareOf(int clients) {
        int divisor = Math.max(1, clients);
        return new CallRates(
                Math.max(MINIMUM_PER_SECOND, writesPerSecond / divisor),
                Math.max(MINIMUM_PER_SECOND, readsPerSecond / divisor));
    }
}
