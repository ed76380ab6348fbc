package io.yuccaswitch.testkit.engine;

import com.google.common.hash.Hashing;
import java.util.SplittableRandom;

/**
 * The number of tokens that a prompt gets, drawn from a distribution with a heavy tail. The same prompt and seed get
 * the same number on every engine.
 *
 * @param seed The seed of the distribution.
 * @param median The median number of tokens.
 * @param stragglerShare The share of prompts that get 10 to 30 times the median.
 */
public record LengthDistribution(long seed, int median, double stragglerShare) {

    /** The smallest number of medians that a straggler gets. */
    private static final double STRAGGLER_FROM = 10;

    /** The largest number of medians that a straggler gets. */
    private static final double STRAGGLER_TO = 30;

    /** The smallest number of medians that any other prompt gets. */
    private static final double ORDINARY_FROM = 0.25;

    /** The largest number of medians that any other prompt gets. */
    private static final double ORDINARY_TO = 1.75;

    /**
     * Draws the number of tokens of a prompt.
     *
     * @param promptHash The hash of the prompt.
     * @param sampleSeed The seed that the request gave.
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
                ? random.nextDouble(STRAGGLER_FROM, STRAGGLER_TO)
                : random.nextDouble(ORDINARY_FROM, ORDINARY_TO);
        return Math.max(1, (int) Math.round(medians * median));
    }
}
