package io.yuccaswitch.platform;

import java.time.Duration;

/**
 * How often reads are repeated. Writes never are.
 *
 * @param attempts The largest number of attempts of one read, the first one included.
 * @param firstWait The bound of the random wait before the second attempt, which doubles with each further one.
 * @param maximumWait The largest bound of the random wait.
 * @param share The repetitions that are earned by each read, such that they stay this share of all reads.
 */
public record RetrySettings(int attempts, Duration firstWait, Duration maximumWait, double share) {

    /** The default settings. */
    public static final RetrySettings DEFAULT = new RetrySettings(3, Duration.ofMillis(50), Duration.ofSeconds(1), 0.1);

    /** Checks the settings. */
    public RetrySettings {
        if (attempts < 1 || firstWait.isNegative() || maximumWait.compareTo(firstWait) < 0 || share < 0) {
            throw new IllegalArgumentException("Not settings of retries: " + attempts + ", " + share);
        }
    }
}
