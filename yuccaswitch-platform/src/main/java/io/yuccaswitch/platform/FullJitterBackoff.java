package io.yuccaswitch.platform;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Waits that are drawn evenly between zero and a bound, which doubles with each failure in a row. Clients that failed
 * together thereby come back spread over the bound.
 *
 * @param first The bound of the first wait.
 * @param maximum The largest bound.
 * @param random The source of randomness, safe for use by several threads.
 */
record FullJitterBackoff(Duration first, Duration maximum, RandomGenerator random) {

    /** The largest exponent, which keeps the doubled bound from overflowing. */
    private static final int MAXIMUM_EXPONENT = 30;

    /**
     * Draws a wait.
     *
     * @param failures The number of failures in a row before this wait, at least one.
     * @return The wait.
     */
    Duration wait(int failures) {
        return wait(failures, random.nextDouble());
    }

    /**
     * Returns the wait for a number that was drawn before.
     *
     * @param failures The number of failures in a row before this wait, at least one.
     * @param drawn The number, between zero and one.
     * @return The wait.
     */
    Duration wait(int failures, double drawn) {
        int exponent = Math.min(MAXIMUM_EXPONENT, failures - 1);
        double bound = Math.min((double) maximum.toNanos(), Math.scalb((double) first.toNanos(), exponent));
        return Duration.ofNanos((long) (drawn * bound));
    }

    /**
     * Returns these waits with another largest bound.
     *
     * @param newMaximum The largest bound.
     * @return The changed waits.
     */
    FullJitterBackoff withMaximum(Duration newMaximum) {
        return new FullJitterBackoff(first, newMaximum, random);
    }
}
