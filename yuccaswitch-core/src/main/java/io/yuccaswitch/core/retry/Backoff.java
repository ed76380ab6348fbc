package io.yuccaswitch.core.retry;

import io.yuccaswitch.core.configuration.RetrySettings;
import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Computes delays before retries: exponential backoff with full jitter, so that callers that failed together do not
 * retry together.
 */
public final class Backoff {

    /** The maximum number of doublings. */
    private static final int MAXIMUM_DOUBLINGS = 20;

    /** This class has no instances. */
    private Backoff() {}

    /**
     * Computes the delay before a retry.
     *
     * @param settings The settings with the initial and the maximum delay.
     * @param attempts The number of attempts so far.
     * @param random The source of the jitter.
     * @return The delay.
     */
    public static Duration pause(RetrySettings settings, int attempts, SplittableRandom random) {
        int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, attempts - 1));
        long ceiling = Math.min(
                settings.maximumBackoff().toNanos(), settings.initialBackoff().toNanos() << doublings);
        return Duration.ofNanos(random.nextLong(ceiling + 1));
    }
}
