package io.yuccaswitch.core.limit;

/**
 * An adaptive limit on the number of requests that a node keeps in flight at one endpoint, based on the results of
 * earlier requests. Implementations are immutable: a sample yields the next limit.
 */
public interface ConcurrencyLimit {

    /**
     * Returns the limit.
     *
     * @return The maximum number of requests in flight, at least one.
     */
    int limit();

    /**
     * Returns the limit after a request completed.
     *
     * @param sample The observed result.
     * @return The updated limit.
     */
    ConcurrencyLimit after(Sample sample);

    /**
     * The result of a request at an endpoint.
     *
     * @param latencySeconds The duration of the request, per token for engines.
     * @param inFlight The number of requests of this node in flight at the endpoint when the request was sent.
     * @param overloaded {@code true} if the endpoint rejected the request because of its load, or if the request
     *     exceeded its deadline.
     */
    record Sample(double latencySeconds, int inFlight, boolean overloaded) {}

    /**
     * A fixed limit.
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
     * Additive increase and multiplicative decrease: the limit grows by about one in each round of successful requests
     * while it is utilized, and shrinks when the endpoint signals overload or its latency exceeds a multiple of the
     * lowest recent latency.
     *
     * @param value The limit before rounding.
     * @param maximum The maximum limit.
     * @param tolerance The multiple of the baseline above which latency is treated as overload.
     * @param baselineSeconds The lowest recent smoothed latency, or zero before the first sample.
     * @param smoothedSeconds The smoothed latency, or zero before the first sample.
     * @param samplesSinceDecrease The number of samples since the last decrease.
     */
    record AdditiveIncrease(
            double value,
            int maximum,
            double tolerance,
            double baselineSeconds,
            double smoothedSeconds,
            int samplesSinceDecrease)
            implements ConcurrencyLimit {

        /** The factor of a decrease. */
        private static final double DECREASE_FACTOR = 0.85;

        /** The relative increase of the baseline per sample, which makes older minima expire. */
        private static final double BASELINE_DRIFT = 0.0002;

        /** The weight of a new sample in the smoothed values. */
        private static final double SMOOTHING_FACTOR = 0.1;

        /** The share of the limit that must be in use for the limit to grow. */
        private static final double MINIMUM_UTILIZATION = 0.5;

        /**
         * Creates a limit without samples.
         *
         * @param initial The initial limit.
         * @param maximum The maximum limit.
         * @param tolerance The multiple of the baseline above which latency is treated as overload.
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
                    : smoothedSeconds + SMOOTHING_FACTOR * (sample.latencySeconds() - smoothedSeconds);
            double baseline =
                    baselineSeconds == 0 ? smoothed : Math.min(baselineSeconds * (1 + BASELINE_DRIFT), smoothed);
            if (smoothed > tolerance * baseline) {
                return decreased(baseline, smoothed);
            }
            double grown =
                    sample.inFlight() >= MINIMUM_UTILIZATION * value ? Math.min(maximum, value + 1 / value) : value;
            return new AdditiveIncrease(grown, maximum, tolerance, baseline, smoothed, samplesSinceDecrease + 1);
        }

        /**
         * Decreases the limit, at most once for each round of requests.
         *
         * @param baseline The updated baseline.
         * @param smoothed The updated smoothed latency.
         * @return The changed limit.
         */
        private AdditiveIncrease decreased(double baseline, double smoothed) {
            if (samplesSinceDecrease < limit()) {
                return new AdditiveIncrease(value, maximum, tolerance, baseline, smoothed, samplesSinceDecrease + 1);
            }
            return new AdditiveIncrease(
                    Math.max(1, value * DECREASE_FACTOR), maximum, tolerance, baseline, smoothed, 0);
        }
    }

    /**
     * Follows the latency gradient: the limit is scaled by the ratio of the baseline latency to the current one, with
     * headroom for a small queue.
     *
     * @param value The limit before rounding.
     * @param maximum The maximum limit.
     * @param baselineSeconds The lowest recent smoothed latency, or zero before the first sample.
     * @param smoothedSeconds The smoothed latency, or zero before the first sample.
     */
    record Gradient(double value, int maximum, double baselineSeconds, double smoothedSeconds)
            implements ConcurrencyLimit {

        /** The multiple of the baseline up to which latency does not reduce the limit. */
        private static final double TOLERANCE = 2;

        /** The minimum scaling factor of one step. */
        private static final double MINIMUM_STEP = 0.5;

        /** The weight of a new sample in the smoothed values. */
        private static final double SMOOTHING_FACTOR = 0.1;

        /** The relative increase of the baseline per sample, which makes older minima expire. */
        private static final double BASELINE_DRIFT = 0.0002;

        /**
         * Creates a limit without samples.
         *
         * @param initial The initial limit.
         * @param maximum The maximum limit.
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
                double shrunk = Math.max(1, value * (1 - SMOOTHING_FACTOR));
                return new Gradient(shrunk, maximum, baselineSeconds, smoothedSeconds);
            }
            double smoothed = smoothedSeconds == 0
                    ? sample.latencySeconds()
                    : smoothedSeconds + SMOOTHING_FACTOR * (sample.latencySeconds() - smoothedSeconds);
            double baseline =
                    baselineSeconds == 0 ? smoothed : Math.min(baselineSeconds * (1 + BASELINE_DRIFT), smoothed);
            double gradient = Math.max(MINIMUM_STEP, Math.min(1, TOLERANCE * baseline / smoothed));
            double target = gradient * value + Math.sqrt(value);
            double next = value + SMOOTHING_FACTOR * (target - value);
            return new Gradient(Math.max(1, Math.min(maximum, next)), maximum, baseline, smoothed);
        }
    }
}
