package io.yuccaswitch.core.limit;

import io.yuccaswitch.core.request.Request;
import java.time.Duration;

/**
 * The recent service times of a pool's requests, used to reject a request early if it cannot meet its deadline.
 *
 * @param samples The number of samples, up to the number that is sufficient for an estimate.
 * @param meanSeconds The smoothed duration of a request.
 * @param meanTokenSeconds The smoothed duration per generated token, or zero if no tokens were generated.
 */
public record ServiceTimes(int samples, double meanSeconds, double meanTokenSeconds) {

    /** The times of an unused pool. */
    public static final ServiceTimes EMPTY = new ServiceTimes(0, 0, 0);

    /** The minimum number of samples for an estimate. */
    private static final int MINIMUM_SAMPLES = 16;

    /** The weight of a new sample in the smoothed values. */
    private static final double SMOOTHING_FACTOR = 0.05;

    /** The number of nanoseconds per second. */
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /**
     * Returns the times after a request was answered.
     *
     * @param duration The duration of the attempt.
     * @param tokens The number of tokens that were generated, or zero.
     * @return The updated times.
     */
    public ServiceTimes after(Duration duration, int tokens) {
        double seconds = duration.toNanos() / NANOSECONDS_PER_SECOND;
        double mean = samples == 0 ? seconds : meanSeconds + SMOOTHING_FACTOR * (seconds - meanSeconds);
        double token = meanTokenSeconds;
        if (tokens > 0) {
            double sample = seconds / tokens;
            token = meanTokenSeconds == 0 ? sample : meanTokenSeconds + SMOOTHING_FACTOR * (sample - meanTokenSeconds);
        }
        return new ServiceTimes(Math.min(MINIMUM_SAMPLES, samples + 1), mean, token);
    }

    /**
     * Estimates the service time of a request, not including queueing.
     *
     * @param request The request.
     * @return The estimate, or zero while there are too few samples.
     */
    public Duration estimateServiceTime(Request request) {
        if (samples < MINIMUM_SAMPLES) {
            return Duration.ZERO;
        }
        double seconds = request.expectedTokens() > 0 && meanTokenSeconds > 0
                ? request.expectedTokens() * meanTokenSeconds
                : meanSeconds;
        return Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
    }

    /**
     * Estimates the service time of a request of which nothing else is known, not including queueing.
     *
     * @return The smoothed duration of a request, or zero while there are too few samples.
     */
    public Duration estimateServiceTime() {
        return samples < MINIMUM_SAMPLES
                ? Duration.ZERO
                : Duration.ofNanos((long) (meanSeconds * NANOSECONDS_PER_SECOND));
    }

    /**
     * Estimates the time that a request waits in the queue.
     *
     * @param ahead The number of requests that are served before it.
     * @param concurrency The number of requests that are served concurrently.
     * @return The estimate, or zero while there are too few samples.
     */
    public Duration estimateQueueingTime(int ahead, int concurrency) {
        if (samples < MINIMUM_SAMPLES) {
            return Duration.ZERO;
        }
        return Duration.ofNanos((long) (meanSeconds * ahead / Math.max(1, concurrency) * NANOSECONDS_PER_SECOND));
    }
}
