package io.yuccaswitch.platform;

import java.time.Duration;

/**
 * The retry settings for reads. Writes are never retried.
 *
 * @param attempts The maximum number of attempts of one read, including the first one.
 * @param initialDelay The bound of the random delay before the second attempt, which doubles with each further attempt.
 * @param maximumDelay The maximum bound of the random delay.
 * @param retriesPerCall The number of retries that each call earns, which limits the retries to this fraction of the
 *     calls.
 */
public record RetrySettings(int attempts, Duration initialDelay, Duration maximumDelay, double retriesPerCall) {

    /** The default settings. */
    public static final RetrySettings DEFAULT = new RetrySettings(3, Duration.ofMillis(50), Duration.ofSeconds(1), 0.1);

    /** Checks the settings. */
    public RetrySettings {
        if (attempts < 1
                || initialDelay.isNegative()
                || maximumDelay.compareTo(initialDelay) < 0
                || retriesPerCall < 0) {
            throw new IllegalArgumentException("Invalid retry settings: " + attempts + ", " + retriesPerCall);
        }
    }
}
