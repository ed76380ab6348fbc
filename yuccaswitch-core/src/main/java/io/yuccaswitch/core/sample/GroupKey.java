package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.TrainerName;
import java.util.Comparator;

/**
 * The identity of a group of samples. Together with the index of a sample it identifies a slot, which each retry fills
 * again and which is delivered exactly once.
 *
 * @param trainer The trainer that the group is for.
 * @param step The step of the trainer, from zero.
 * @param group The number of the group in its step, from zero.
 */
public record GroupKey(TrainerName trainer, long step, int group) implements Comparable<GroupKey> {

    /** The maximum step. */
    public static final long MAXIMUM_STEP = 1L << 40;

    /** The maximum number of a group in its step. */
    public static final int MAXIMUM_GROUP = (1 << 20) - 1;

    /** The order of groups: by trainer, then by step, then by number. */
    private static final Comparator<GroupKey> ORDER = Comparator.comparing(GroupKey::trainer)
            .thenComparingLong(GroupKey::step)
            .thenComparingInt(GroupKey::group);

    /** Validates the numbers. */
    public GroupKey {
        if (step < 0 || step > MAXIMUM_STEP) {
            throw new IllegalArgumentException("step is out of range: " + step);
        }
        if (group < 0 || group > MAXIMUM_GROUP) {
            throw new IllegalArgumentException("group number is out of range: " + group);
        }
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(GroupKey other) {
        return ORDER.compare(this, other);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return trainer + "/" + step + "/" + group;
    }
}
