package io.yuccaswitch.core.batch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Estimates the output lengths of items in tokens, for jobs in which a few items are several times as long as the
 * others. Sources are the item's own estimate, the final lengths of items of its group, its job and its model, and the
 * output so far: the expected length of an item that exceeds its estimate, or has none, is the mean of the known
 * lengths above its output so far, so it grows while the item runs.
 */
final class LengthEstimates {

    /** The number of final lengths that are kept for each model: those of a few jobs. */
    private static final int MAXIMUM_SAMPLES = 256;

    /** The number of models whose final lengths are kept. */
    private static final int MAXIMUM_MODELS = 64;

    /** The weight of the final length of an item of the same group, which answers the same prompt. */
    private static final int GROUP_WEIGHT = 4;

    /** The weight of the final length of an item of the same job. */
    private static final int JOB_WEIGHT = 2;

    /**
     * The share of the maximum that an item is expected to make if nothing else is known. Maxima are rarely reached.
     */
    private static final double EXPECTED_SHARE_OF_MAXIMUM = 0.2;

    /** The growth of an output that is already longer than every known length. */
    private static final double GROWTH_BEYOND_SAMPLES = 1.5;

    /** The latest final lengths of each model. */
    private final Map<String, Deque<Sample>> samples = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Deque<Sample>> _eldest) {
            return size() > MAXIMUM_MODELS;
        }
    };

    /** The number of changes of the data on which estimates depend. */
    private long revision;

    /**
     * Records the final length of an item.
     *
     * @param job The job.
     * @param group The item's group.
     * @param tokens The length of its output in tokens.
     */
    void finish(BatchJob job, String group, long tokens) {
        Deque<Sample> latest = samples.computeIfAbsent(job.model(), _model -> new ArrayDeque<>());
        latest.addLast(new Sample(job.id(), group, tokens));
        if (latest.size() > MAXIMUM_SAMPLES) {
            latest.removeFirst();
        }
        revision++;
    }

    /** Records that items made progress. */
    void advance() {
        revision++;
    }

    /**
     * Returns the number of changes of the data on which estimates depend.
     *
     * @return The number, for caches of estimates.
     */
    long revision() {
        return revision;
    }

    /**
     * Estimates the final length of an item's output.
     *
     * @param job The job.
     * @param hints What the caller states about the lengths of the job's items.
     * @param item The item.
     * @param made The tokens of the output so far.
     * @return The number of tokens, not less than the output so far.
     */
    long expected(BatchJob job, LengthHints hints, BatchItem item, long made) {
        OptionalLong estimate = hints.estimate(item);
        long expected = estimate.isPresent() && estimate.getAsLong() > made
                ? estimate.getAsLong()
                : expectedWithoutEstimate(job, hints, item.group(), made);
        return hints.maximum() > made ? Math.min(hints.maximum(), expected) : expected;
    }

    /**
     * Estimates the final length of an item without an estimate, or with one that it exceeds.
     *
     * @param job The job.
     * @param hints What the caller states about the lengths of the job's items.
     * @param group The item's group.
     * @param made The tokens of the output so far.
     * @return The weighted mean of the known lengths above the output so far.
     */
    private long expectedWithoutEstimate(BatchJob job, LengthHints hints, String group, long made) {
        double sum = 0;
        long weights = 0;
        for (long tokens : hints.estimates()) {
            if (tokens > made) {
                sum += tokens;
                weights++;
            }
        }
        for (Sample sample : samples.getOrDefault(job.model(), new ArrayDeque<>())) {
            if (sample.tokens() > made) {
                int weight = sample.weight(job.id(), group);
                sum += (double) sample.tokens() * weight;
                weights += weight;
            }
        }
        if (weights > 0) {
            return (long) Math.ceil(sum / weights);
        }
        return Math.max((long) (made * GROWTH_BEYOND_SAMPLES), (long) (hints.maximum() * EXPECTED_SHARE_OF_MAXIMUM));
    }

    /**
     * The final length of an item.
     *
     * @param job The job.
     * @param group The group.
     * @param tokens The length of the output in tokens.
     */
    private record Sample(BatchJobId job, String group, long tokens) {

        /**
         * Returns the weight of this length in the estimate of an item of the same model.
         *
         * @param otherJob The item's job.
         * @param otherGroup The item's group.
         * @return The weight.
         */
        private int weight(BatchJobId otherJob, String otherGroup) {
            if (!job.equals(otherJob)) {
                return 1;
            }
            return group.equals(otherGroup) ? GROUP_WEIGHT : JOB_WEIGHT;
        }
    }
}
