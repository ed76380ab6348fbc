package io.yuccaswitch.core.limit;

/**
 * The number of requests that a node keeps in progress at one endpoint, learned from how they end. Implementations are
 * immutable: a sample yields the next limit.
 */
public interface ConcurrencyLimit {

    /**
     * Returns the limit.
     *
     * @return The largest number of requests in progress, at least one.
     */
    int limit();

    /**
     * Learns from a request that ended.
     *
     * @param sample What was seen.
     * @return The limit from now on.
     */
    ConcurrencyLimit after(Sample sample);

    /**
     * How a request at an endpoint ended.
     *
     * @param latencySeconds The time that the request took, per token for engines.
     * @param inFlight The number of requests of this node in progress at the endpoint when the request was sent.
     * @param overloaded {@code true} if the endpoint refused for its load or the request ran into its deadline.
     */
    record Sample(double latencySeconds, int inFlight, boolean overloaded) {}

    /**
     * A limit that does not learn.
     *
     * @param limit The limit.
     */
    record Fixed(int limit) implements ConcurrencyLimit {

        /** {@inheritDoc} */
        @Override
        public ConcurrencyLimit after(Sample sample) {
            return this;
        }
    }

    /**
     * Additive increase and multiplicative decrease: the limit grows by about one in each round of requests that end
     * well while it is used, and shrinks when the endpoint shows overload or its latency exceeds a multiple of the
     * lowest one that it showed lately.
     *
     * @param value The limit before rounding.
     * @param maximum The largest limit.
     * @param tolerance The multiple of the baseline above which latency counts as overload.
     * @param baselineSeconds The lowest smoothed latency seen lately, or zero before the first sample.
     * @param smoothedSeconds The smoothed latency, or zero before the first sample.
     * @param samplesSinceDecrease The number of samples since the limit shrank.
     */
    record AdditiveIncrease(
            double value,
            int maximum,
            double tolerance,
            double baselineSeconds,
            double smoothedSeconds,
            int samplesSinceDecrease)
            implements ConcurrencyLimit {

        /** The factor by which the limit shrinks. */
        private static final double DECREASE = 0.85;

        /** The share at which the baseline forgets, for each sample. */
        private static final double BASELINE_DRIFT = 0.0002;

        /** The share of a new sample in the smoothed latency. */
        private static final double SMOOTHING = 0.1;

        /** The share of the limit that must be in use for it to grow. */
        private static final double USE_TO_GROW = 0.5;

        /**
         * Creates a limit that has learned nothing yet.
         *
         * @param initial The limit to begin with.
         * @param maximum The largest limit.
         * @param tolerance The multiple of the baseline above which latency counts as overload.
         */
        public AdditiveIncrease(int initial, int maximum, double tolerance) {
            this(initial, maximum, tolerance, 0, 0, 0);
        }

        /** {@inheritDoc} */
        @Override
        public int limit() {
            return Math.max(1, (int) value);
        }

        /** {@inheritDoc} */
        @Override
        public ConcurrencyLimit after(Sample sample) {
            if (sample.overloaded()) {
                return decreased(baselineSeconds, smoothedSeconds);
            }
            double smoothed = smoothedSeconds == 0
                    ? sample.latencySeconds()
                    : smoothedSeconds + SMOOTHING * (sample.latencySeconds() - smoothedSeconds);
            double baseline =
                    baselineSeconds == 0 ? smoothed : Math.min(baselineSeconds * (1 + BASELINE_DRIFT), smoothed);
            if (smoothed > tolerance * baseline) {
                return decreased(baseline, smoothed);
            }
            double grown = sample.inFlight() >= USE_TO_GROW * value ? Math.min(maximum, value + 1 / value) : value;
            return new AdditiveIncrease(grown, maximum, tolerance, baseline, smoothed, samplesSinceDecrease + 1);
        }

        /**
         * Shrinks the limit, at most once for each round of requests.
         *
         * @param baseline The baseline from now on.
         * @param smoothed The smoothed latency from now on.
         * @return The changed limit.
         */
        private AdditiveIncrease decreased(double baseline, double smoothed) {
            if (samplesSinceDecrease < limit()) {
                return new AdditiveIncrease(value, maximum, tolerance, baseline, smoothed, samplesSinceDecrease + 1);
            }
            return new AdditiveIncrease(Math.max(1, value * DECREASE), maximum, tolerance, baseline, smoothed, 0);
        }
    }

    /**
     * Follows the gradient of latency: the limit is scaled by the ratio of the lowest latency to the present one, with
     * room for a small queue.
     *
     * @param value The limit before rounding.
     * @param maximum The largest limit.
     * @param baselineSeconds The lowest smoothed latency seen lately, or zero before the first sample.
     * @param smoothedSeconds The smoothed latency, or zero before the first sample.
     */
    record Gradient(double value, int maximum, double baselineSeconds, double smoothedSeconds)
            implements ConcurrencyLimit {

        /** The multiple of the baseline that is taken as undisturbed. */
        private static final double TOLERANCE = 2;

        /** The smallest factor of one step. */
        private static final double SMALLEST_STEP = 0.5;

        /** The share of a new sample in the smoothed values. */
        private static final double SMOOTHING = 0.1;

        /** The share at which the baseline forgets, for each sample. */
        private static final double BASELINE_DRIFT = 0.0002;

        /**
         * Creates a limit that has learned nothing yet.
         *
         * @param initial The limit to begin with.
         * @param maximum The largest limit.
         */
        public Gradient(int initial, int maximum) {
            this(initial, maximum, 0, 0);
        }

        /** {@inheritDoc} */
        @Override
        public int limit() {
            return Math.max(1, (int) value);
        }

        /** {@inheritDoc} */
        @Override
        public ConcurrencyLimit after(Sample sample) {
            if (sample.overloaded()) {
                double shrunk = Math.max(1, value * (1 - SMOOTHING));
                return new Gradient(shrunk, maximum, baselineSeconds, smoothedSeconds);
            }
            double smoothed = smoothedSeconds == 0
                    ? sample.latencySeconds()
                    : smoothedSeconds + SMOOTHING * (sample.latencySeconds() - smoothedSeconds);
            double baseline =
                    baselineSeconds == 0 ? smoothed : Math.min(baselineSeconds * (1 + BASELINE_DRIFT), smoothed);
            double gradient = Math.max(SMALLEST_STEP, Math.min(1, TOLERANCE * baseline / smoothed));
            double target = gradient * value + Math.sqrt(value);
            double next = value + SMOOTHING * (target - value);
            return new Gradient(Math.max(1, Math.min(maximum, next)), maximum, baseline, smoothed);
        }
    }
}
