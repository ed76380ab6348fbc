package io.yuccaswitch.core.sample;

import java.util.List;

/**
 * A group whose samples are all finished. Its keepers store it until the trainer has acknowledged it.
 *
 * @param key The identity of the group.
 * @param run The number of the run that produced the samples, starting at one. A discarded group is run again.
 * @param samples The samples in the order of their indices.
 */
public record FinishedGroup(GroupKey key, int run, List<Sample> samples) {

    /** Copies the samples. */
    public FinishedGroup {
        samples = List.copyOf(samples);
    }

    /**
     * Returns the oldest weight version that produced a part of this group.
     *
     * @return The minimum version over all samples.
     */
    public long oldestVersion() {
        return samples.stream().mapToLong(Sample::oldestVersion).min().orElse(0);
    }

    /**
     * Returns the approximate size of this group in characters.
     *
     * @return The number of characters of all texts.
     */
    public long characters() {
        return samples.stream().mapToLong(sample -> sample.text().length()).sum();
    }
}
