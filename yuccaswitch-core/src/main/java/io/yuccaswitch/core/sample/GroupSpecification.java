package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.configuration.PriorityClass;

/**
 * A group as its trainer submitted it.
 *
 * @param key The identity of the group.
 * @param prompt The prompt that all samples of the group answer.
 * @param size The number of samples of the group.
 * @param maximumTokens The largest number of tokens of a sample.
 * @param priority The highest priority class that the group's generations may use.
 */
public record GroupSpecification(GroupKey key, String prompt, int size, int maximumTokens, PriorityClass priority) {

    /** The largest number of samples of a group. */
    public static final int MAXIMUM_SIZE = 1024;

    /** The assumed number of bytes of a token, from which the size of a finished group is bounded. */
    private static final int BYTES_PER_TOKEN = 8;

    /** The largest size of a finished group in bytes, such that it fits into a message between nodes. */
    private static final long MAXIMUM_BYTES = 6L << 20;

    /** Checks the bounds. */
    public GroupSpecification {
        if (size < 1 || size > MAXIMUM_SIZE) {
            throw new IllegalArgumentException("Not a size of a group: " + size);
        }
        if (maximumTokens < 1) {
            throw new IllegalArgumentException("Not a number of tokens: " + maximumTokens);
        }
    }

    /**
     * Returns whether the finished group fits into a message between nodes however long its samples get.
     *
     * @return {@code true} if the finished group surely fits.
     */
    public boolean fitsMessage() {
        return prompt.length() + (long) size * maximumTokens * BYTES_PER_TOKEN <= MAXIMUM_BYTES;
    }
}
