package io.yuccaswitch.platform;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Backoff with full jitter: delays are uniformly distributed between zero and a bound, which doubles with each
 * consecutive failure. This spreads the retries of clients that failed at the same time.
 *
 * @param initialBound The bound of the first delay.
 * @param maximumBound The maximum bound.
 * @param random The random number generator, which must be thread-safe.
 */
record FullJitterBackoff(Duration initialBound, Duration maximumBound, RandomGenerator random) {

    /** The maximum exponent, which prevents overflow of the bound. */
    private static final int MAXIMUM_EXPONENT = 30;

    /**
     * Returns a random delay.
     *
     * @param failures The number of consecutive failures before this delay, at least one.
     * @return The delay.
     */
    Duration delayAfter(int failures) {
        return delayAfter(failures, random.nextDouble());
    }

    /**
     * Returns the delay for a given random number.
     *
     * @param failures The number of consecutive failures before this delay, at least one.
     * @param fraction The fraction of the bound, between zero and one.
     * @return The delay.
     */
    Duration delayAfter(int failures, double fraction) {
        int exponent = Math.min(MAXIMUM_EXPONENT, failures - 1);
        double bound = Math.min((double) maximumBound.toNanos(), Math.scalb((double) initialBound.toNanos(), exponent));
        return Duration.ofNanos((long) (fraction * bound));
    }

    /**
     * Returns this backoff with another maximum bound.
     *
     * @param newMaximumBound The maximum bound.
     * @return The changed backoff.
     */
    FullJitterBackoff withMaximumBound(Duration newMaximumBound) {
        return new FullJitterBackoff(initialBound, newMaximumBound, random);
    }
}
