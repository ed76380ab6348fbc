package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.configuration.PriorityClass;

/**
 * A group as its trainer submitted it.
 *
 * @param key The identity of the group.
 * @param prompt The prompt that all samples of the group answer.
 * @param size The number of samples of the group.
 * @param maximumTokens The maximum number of tokens of a sample.
 * @param priority The highest priority class that the group's generations may use.
 */
public record GroupSpecification(GroupKey key, String prompt, int size, int maximumTokens, PriorityClass priority) {

    /** The maximum number of samples of a group. */
    public static final int MAXIMUM_SIZE = 1024;

    /** The assumed number of bytes per token, from which the maximum size of a finished group is computed. */
    private static final int ASSUMED_BYTES_PER_TOKEN = 8;

    /** The maximum size of a finished group in bytes, so that it fits into a message between nodes. */
    private static final long MAXIMUM_BYTES = 6L << 20;

    /** Validates the numbers. */
    public GroupSpecification {
        if (size < 1 || size > MAXIMUM_SIZE) {
            throw new IllegalArgumentException("group size is out of range: " + size);
        }
        if (maximumTokens < 1) {
            throw new IllegalArgumentException("maximum number of tokens is not positive: " + maximumTokens);
        }
    }

    /**
     * Returns whether the finished group fits into a message between nodes if all samples have the maximum length.
     *
     * @return {@code true} if the finished group is expected to fit in every case.
     */
    public boolean fitsMessage() {
        return prompt.length() + (long) size * maximumTokens * ASSUMED_BYTES_PER_TOKEN <= MAXIMUM_BYTES;
    }
}
