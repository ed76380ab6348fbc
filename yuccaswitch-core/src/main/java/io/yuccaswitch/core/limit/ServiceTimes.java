package io.yuccaswitch.core.limit;

import io.yuccaswitch.core.request.Request;
import java.time.Duration;

/**
 * What a pool's requests have taken lately, to tell early that a request can't meet its deadline.
 *
 * @param samples The number of samples, which saturates.
 * @param meanSeconds The smoothed time of a request.
 * @param meanTokenSeconds The smoothed time of a generated token, or zero if none was generated.
 */
public record ServiceTimes(int samples, double meanSeconds, double meanTokenSeconds) {

    /** The times of a pool that was not used yet. */
    public static final ServiceTimes EMPTY = new ServiceTimes(0, 0, 0);

    /** The number of samples before which nothing is estimated. */
    private static final int ENOUGH_SAMPLES = 16;

    /** The share of a new sample in the smoothed values. */
    private static final double SMOOTHING = 0.05;

    /** The number of nanoseconds of a second. */
    private static final double NANOSECONDS = 1e9;

    /**
     * Learns from a request that was answered.
     *
     * @param duration The time that the attempt took.
     * @param tokens The number of tokens that were generated, or zero.
     * @return The times from now on.
     */
    public ServiceTimes after(Duration duration, int tokens) {
        double seconds = duration.toNanos() / NANOSECONDS;
        double mean = samples == 0 ? seconds : meanSeconds + SMOOTHING * (seconds - meanSeconds);
        double token = meanTokenSeconds;
        if (tokens > 0) {
            double sample = seconds / tokens;
            token = meanTokenSeconds == 0 ? sample : meanTokenSeconds + SMOOTHING * (sample - meanTokenSeconds);
        }
        return new ServiceTimes(Math.min(ENOUGH_SAMPLES, samples + 1), mean, token);
    }

    /**
     * Estimates how long a request takes once it is sent.
     *
     * @param request The request.
     * @return The estimate, or zero while there are too few samples.
     */
    public Duration service(Request request) {
        if (samples < ENOUGH_SAMPLES) {
            return Duration.ZERO;
        }
        double seconds = request.expectedTokens() > 0 && meanTokenSeconds > 0
                ? request.expectedTokens() * meanTokenSeconds
                : meanSeconds;
        return Duration.ofNanos((long) (seconds * NANOSECONDS));
    }

    /**
     * Estimates how long a request waits before it is sent.
     *
     * @param ahead The number of requests that go before it.
     * @param concurrency The number of requests that are served at the same time.
     * @return The estimate, or zero while there are too few samples.
     */
    public Duration queueing(int ahead, int concurrency) {
        if (samples < ENOUGH_SAMPLES) {
            return Duration.ZERO;
        }
        return Duration.ofNanos((long) (meanSeconds * ahead / Math.max(1, concurrency) * NANOSECONDS));
    }
}
