package io.yuccaswitch.core.sample;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Expects the length of samples from the lengths of earlier samples of the same prompt. */
final class LengthEstimate {

    /** The largest number of prompts that are remembered. */
    private static final int MAXIMUM_PROMPTS = 8192;

    /** The share of the newest observation. */
    private static final double SMOOTHING = 0.3;

    /** The usual share of the largest number of tokens that a sample has, before any is known. */
    private static final double USUAL_SHARE = 0.25;

    /** The mean number of tokens by the hash of the prompt, the least recently used first. */
    private final Map<Long, Double> means = new LinkedHashMap<>(16, 0.75f, true) {

        /** {@inheritDoc} */
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Double> _eldest) {
            return size() > MAXIMUM_PROMPTS;
        }
    };

    /**
     * Learns from a sample.
     *
     * @param prompt The prompt.
     * @param tokens The number of tokens of the sample.
     */
    void observe(String prompt, int tokens) {
        means.merge(hash(prompt), (double) tokens, (mean, latest) -> mean + SMOOTHING * (latest - mean));
    }

    /**
     * Expects the length of a sample.
     *
     * @param specification The group of the sample.
     * @return The expected number of tokens.
     */
    int expect(GroupSpecification specification) {
        Double mean = means.get(hash(specification.prompt()));
        double expected = mean == null ? specification.maximumTokens() * USUAL_SHARE : mean;
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
