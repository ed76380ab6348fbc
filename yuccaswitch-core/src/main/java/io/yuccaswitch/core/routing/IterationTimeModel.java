package io.yuccaswitch.core.routing;

/**
 * An engine's time per token as a linear function of its active requests, fitted to the latencies that are observed
 * with exponentially decaying weights, such that it follows drift like a sliding window does. The linear form is that
 * of the queueing model in the paper listed in docs/design/routing.md.
 *
 * @param weight The sum of the observations' weights.
 * @param sumActive The weighted sum of the active requests.
 * @param sumSeconds The weighted sum of the times per token.
 * @param sumActiveSquared The weighted sum of the squares of the active requests.
 * @param sumProduct The weighted sum of the products of both.
 */
public record IterationTimeModel(
        double weight, double sumActive, double sumSeconds, double sumActiveSquared, double sumProduct) {

    /** The model of an engine that was not observed yet. */
    public static final IterationTimeModel EMPTY = new IterationTimeModel(0, 0, 0, 0, 0);

    /** The factor by which older observations lose weight with each new one, a window of about 64. */
    private static final double DECAY = 1 - 1.0 / 64;

    /** The weight of observations below which nothing is predicted. */
    private static final double ENOUGH = 4;

    /** The variance of the active requests below which the slope is taken from a prior. */
    private static final double SMALLEST_VARIANCE = 1;

    /** The share of the mean time that the prior takes to grow with the active requests. */
    private static final double PRIOR_SHARE = 0.5;

    /** The smallest intercept, as a share of the mean time. */
    private static final double SMALLEST_INTERCEPT = 0.05;

    /**
     * Learns from a request that was answered.
     *
     * @param active The estimated number of active requests while it ran.
     * @param seconds The time per token, or the whole time if no tokens are counted.
     * @return The model from now on.
     */
    public IterationTimeModel after(double active, double seconds) {
        return new IterationTimeModel(
                weight * DECAY + 1,
                sumActive * DECAY + active,
                sumSeconds * DECAY + seconds,
                sumActiveSquared * DECAY + active * active,
                sumProduct * DECAY + active * seconds);
    }

    /**
     * Returns whether enough was observed to predict.
     *
     * @return {@code true} if enough was observed.
     */
    public boolean isFitted() {
        return weight >= ENOUGH;
    }

    /**
     * Predicts the time per token.
     *
     * @param active The number of active requests.
     * @return The predicted time in seconds.
     */
    public double predict(double active) {
        double meanActive = sumActive / weight;
        double meanSeconds = sumSeconds / weight;
        double slope = slope(meanActive, meanSeconds);
        double intercept = Math.max(SMALLEST_INTERCEPT * meanSeconds, meanSeconds - slope * meanActive);
        return intercept + slope * active;
    }

    /**
     * Computes the slope, from a prior where the observations do not tell it.
     *
     * @param meanActive The mean of the active requests.
     * @param meanSeconds The mean of the times.
     * @return The slope, which is never negative.
     */
    private double slope(double meanActive, double meanSeconds) {
        double variance = sumActiveSquared / weight - meanActive * meanActive;
        double prior = PRIOR_SHARE * meanSeconds / Math.max(1, meanActive);
        if (variance < SMALLEST_VARIANCE) {
            return prior;
        }
        double fitted = (sumProduct / weight - meanActive * meanSeconds) / variance;
        return Math.max(0, Math.min(fitted, meanSeconds / Math.max(1, meanActive)));
    }
}
