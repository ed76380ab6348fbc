package io.yuccaswitch.core.sample;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Estimates the length of samples from the lengths of earlier samples of the same prompt. */
final class LengthEstimate {

    /** The maximum number of prompts whose mean length is retained. */
    private static final int MAXIMUM_PROMPTS = 8192;

    /** The weight of the newest observation in the mean. */
    private static final double SMOOTHING_FACTOR = 0.3;

    /**
     * The estimated length of a sample as a share of the maximum number of tokens, before any sample of its prompt was
     * observed.
     */
    private static final double DEFAULT_LENGTH_SHARE = 0.25;

    /** The mean number of tokens by the hash of the prompt, least recently used first. */
    private final Map<Long, Double> means = new LinkedHashMap<>(16, 0.75f, true) {

        /** {@inheritDoc} */
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Double> _eldest) {
            return size() > MAXIMUM_PROMPTS;
        }
    };

    /**
     * Records the length of a sample.
     *
     * @param prompt The prompt.
     * @param tokens The number of tokens of the sample.
     */
    void observe(String prompt, int tokens) {
        means.merge(hash(prompt), (double) tokens, (mean, latest) -> mean + SMOOTHING_FACTOR * (latest - mean));
    }

    /**
     * Estimates the length of a sample.
     *
     * @param specification The group of the sample.
     * @return The expected number of tokens.
     */
    int estimate(GroupSpecification specification) {
        Double mean = means.get(hash(specification.prompt()));
        double expected = mean == null ? specification.maximumTokens() * DEFAULT_LENGTH_SHARE : mean;
        return (int) Math.max(1, Math.min(specification.maximumTokens(), Math.round(expected)));
    }

    /**
     * Hashes a prompt.
     *
     * @param prompt The prompt.
     * @return The hash.
     */
    private static long hash(String prompt) {
        return Hashing.farmHashFingerprint64()
                .hashString(prompt, StandardCharsets.UTF_8)
                .asLong();
    }
}
