package io.yuccaswitch.platform;

/**
 * The rates at which one client may call the platform.
 *
 * @param writesPerSecond The writes and deletions each second.
 * @param readsPerSecond The reads, lists and watches each second.
 */
public record CallRates(double writesPerSecond, double readsPerSecond) {

    /** The default rates, which leave room on the platform for the nodes of a small site. */
    public static final CallRates DEFAULT = new CallRates(40, 200);

    /** The lowest rate, at which a node of a large fleet can still renew several leases. */
    private static final double FLOOR = 5;

    /** Checks the rates. */
    public CallRates {
        if (!(writesPerSecond > 0) || !(readsPerSecond > 0)) {
            throw new IllegalArgumentException("Not positive rates: " + writesPerSecond + ", " + readsPerSecond);
        }
    }

    /**
     * Returns the even share of one client.
     *
     * @param clients The number of clients that share these rates.
     * @return The share, which is never below the lowest useful rate.
     */
    public CallRates shareOf(int clients) {
        int divisor = Math.max(1, clients);
        return new CallRates(Math.max(FLOOR, writesPerSecond / divisor), Math.max(FLOOR, readsPerSecond / divisor));
    }
}
