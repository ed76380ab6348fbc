package io.yuccaswitch.core.retry;

import io.yuccaswitch.core.configuration.RetrySettings;
import java.time.Duration;
import java.util.SplittableRandom;

/** Pauses before further attempts: exponential with full jitter, such that callers that failed together spread out. */
public final class Backoff {

    /** The largest number of doublings. */
    private static final int MAXIMUM_DOUBLINGS = 20;

    /** This class has no instances. */
    private Backoff() {}

    /**
     * Picks the pause before a further attempt.
     *
     * @param settings The bounds of the pause.
     * @param attempts The number of attempts so far.
     * @param random The source of the jitter.
     * @return The pause.
     */
    public static Duration pause(RetrySettings settings, int attempts, SplittableRandom random) {
        int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, attempts - 1));
        long ceiling = Math.min(
                settings.maximumBackoff().toNanos(), settings.initialBackoff().toNanos() << doublings);
        return Duration.ofNanos(random.nextLong(ceiling + 1));
    }
}
