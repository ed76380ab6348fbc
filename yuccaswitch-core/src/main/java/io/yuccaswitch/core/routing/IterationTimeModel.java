package io.yuccaswitch.core.routing;

/**
 * An engine's time per token as a linear function of its active requests, fitted to the observed latencies with
 * exponentially decaying weights, so that it follows drift like a sliding window. The linear form is that of the
 * queueing model in the paper listed in docs/design/routing.md.
 *
 * @param weight The sum of the observations' weights.
 * @param sumActive The weighted sum of the active requests.
 * @param sumSeconds The weighted sum of the times per token.
 * @param sumActiveSquared The weighted sum of the squares of the active requests.
 * @param sumProduct The weighted sum of the products of active requests and time per token.
 */
public record IterationTimeModel(
        double weight, double sumActive, double sumSeconds, double sumActiveSquared, double sumProduct) {

    /** The model of an engine without observations. */
    public static final IterationTimeModel EMPTY = new IterationTimeModel(0, 0, 0, 0, 0);

    /**
     * The decay factor of older observations with each new one, which corresponds to a window of about 64 observations.
     */
    private static final double DECAY = 1 - 1.0 / 64;

    /** The total weight of observations below which no prediction is made. */
    private static final double MINIMUM_WEIGHT = 4;

    /** The variance of the active requests below which the slope is taken from the prior. */
    private static final double MINIMUM_VARIANCE = 1;

    /** The share of the mean time that the prior attributes to the active requests. */
    private static final double PRIOR_SLOPE_SHARE = 0.5;

    /** The minimum intercept, as a share of the mean time. */
    private static final double MINIMUM_INTERCEPT_SHARE = 0.05;

    /**
     * Returns the model after a request was answered.
     *
     * @param active The estimated number of active requests while it ran.
     * @param seconds The time per token, or the total time if no tokens are counted.
     * @return The updated model.
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
     * Returns whether there are enough observations for a prediction.
     *
     * @return {@code true} if there are enough observations.
     */
    public boolean isFitted() {
        return weight >= MINIMUM_WEIGHT;
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
        double intercept = Math.max(MINIMUM_INTERCEPT_SHARE * meanSeconds, meanSeconds - slope * meanActive);
        return intercept + slope * active;
    }

    /**
     * Computes the slope, or returns that of the prior if the observations do not determine it.
     *
     * @param meanActive The mean of the active requests.
     * @param meanSeconds The mean of the times.
     * @return The slope, which is never negative.
     */
    private double slope(double meanActive, double meanSeconds) {
        double variance = sumActiveSquared / weight - meanActive * meanActive;
        double prior = PRIOR_SLOPE_SHARE * meanSeconds / Math.max(1, meanActive);
        if (variance < MINIMUM_VARIANCE) {
            return prior;
        }
        double fitted = (sumProduct / weight - meanActive * meanSeconds) / variance;
        return Math.max(0, Math.min(fitted, meanSeconds / Math.max(1, meanActive)));
    }
}
