package io.yuccaswitch.testkit.engine;

import com.google.common.hash.Hashing;
import java.util.SplittableRandom;

/**
 * A heavy-tailed distribution of the number of tokens that are generated for a prompt. The same prompt and seed give
 * the same number on every engine.
 *
 * @param seed The seed of the distribution.
 * @param median The median number of tokens.
 * @param stragglerShare The share of prompts for which 10 to 30 times the median is generated.
 */
public record LengthDistribution(long seed, int median, double stragglerShare) {

    /** The minimum length of a straggler, as a multiple of the median. */
    private static final double MINIMUM_STRAGGLER_MEDIANS = 10;

    /** The maximum length of a straggler, as a multiple of the median. */
    private static final double MAXIMUM_STRAGGLER_MEDIANS = 30;

    /** The minimum length of any other text, as a multiple of the median. */
    private static final double MINIMUM_ORDINARY_MEDIANS = 0.25;

    /** The maximum length of any other text, as a multiple of the median. */
    private static final double MAXIMUM_ORDINARY_MEDIANS = 1.75;

    /**
     * Draws the number of tokens of a prompt.
     *
     * @param promptHash The hash of the prompt.
     * @param sampleSeed The seed of the request.
     * @return The number of tokens, at least one.
     */
    public int tokens(long promptHash, long sampleSeed) {
        long mixed = Hashing.farmHashFingerprint64()
                .newHasher()
                .putLong(seed)
                .putLong(promptHash)
                .putLong(sampleSeed)
                .hash()
                .asLong();
        SplittableRandom random = new SplittableRandom(mixed);
        boolean straggler = random.nextDouble() < stragglerShare;
        double medians = straggler
                ? random.nextDouble(MINIMUM_STRAGGLER_MEDIANS, MAXIMUM_STRAGGLER_MEDIANS)
                : random.nextDouble(MINIMUM_ORDINARY_MEDIANS, MAXIMUM_ORDINARY_MEDIANS);
        return Math.max(1, (int) Math.round(medians * median));
    }
}
