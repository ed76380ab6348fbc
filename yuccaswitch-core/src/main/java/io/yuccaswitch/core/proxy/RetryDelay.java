package io.yuccaswitch.core.proxy;

import java.time.Duration;

/**
 * The delay after which a caller retries a request that has not run. The delay is spread at random for the case that a
 * service is at capacity or unavailable for all callers: callers that were rejected together with the same delay would
 * retry together, and be rejected again.
 */
public final class RetryDelay {

    /** The minimum delay: a few round trips to a caller. Retrying sooner only adds load. */
    public static final Duration MINIMUM_DELAY = Duration.ofMillis(20);

    /** The maximum delay: callers wait at most a third of their time, and few have more than three seconds. */
    private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(1);

    /** This class has no instances. */
    private RetryDelay() {}

    /**
     * Returns the delay after which a caller retries.
     *
     * @param untilFree The expected time until a slot is free.
     * @param drawn A random number for each caller, uniformly distributed from 0 (inclusive) to 1 (exclusive).
     * @return The delay, uniformly distributed between that time and twice that time.
     */
    public static Duration of(Duration untilFree, double drawn) {
        Duration least = untilFree.compareTo(MINIMUM_DELAY) < 0 ? MINIMUM_DELAY : untilFree;
        Duration bounded = least.compareTo(MAXIMUM_DELAY) < 0 ? least : MAXIMUM_DELAY;
        return spread(bounded, 1, drawn);
    }

    /**
     * Spreads a delay that is already assigned to one caller.
     *
     * @param delay The delay.
     * @param share The maximum extension, as a share of the delay.
     * @param drawn A random number for each caller, uniformly distributed from 0 (inclusive) to 1 (exclusive).
     * @return The delay, extended by a random part of that share.
     */
    public static Duration spread(Duration delay, double share, double drawn) {
        return Duration.ofNanos((long) (delay.toNanos() * (1 + share * drawn)));
    }
}
