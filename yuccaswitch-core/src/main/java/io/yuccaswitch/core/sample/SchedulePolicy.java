package io.yuccaswitch.core.sample;

import java.util.Comparator;

/** Determines the order in which the waiting samples of a trainer are generated. */
public interface SchedulePolicy {

    /**
     * Returns the order in which the generations of waiting samples are started.
     *
     * @return The order, in which the sample to start first comes first.
     */
    Comparator<Candidate> order();

    /**
     * Returns whether samples of later steps may be generated ahead while the staleness bound allows it.
     *
     * @return {@code true} if samples may be generated ahead.
     */
    boolean workAhead();

    /**
     * Returns whether a generation is stopped once its sample is certain to exceed the staleness bound.
     *
     * @return {@code true} if such a generation is stopped.
     */
    boolean earlyStop();

    /**
     * Returns whether trainers share engines in proportion to their weights.
     *
     * @return {@code true} if trainers share by weight, {@code false} if their samples are served in the policy's
     *     order.
     */
    boolean sharedByWeight();

    /**
     * A sample that waits for its generation.
     *
     * @param key The identity of the group.
     * @param index The index of the sample in its group.
     * @param sequence The position of the group in the order of acceptance.
     * @param begun {@code true} if the generation of any sample of the group was started.
     * @param unfinished The number of samples of the group that are not finished.
     * @param expectedTokens The estimated number of tokens of the sample.
     */
    record Candidate(GroupKey key, int index, long sequence, boolean begun, int unfinished, int expectedTokens) {}

    /**
     * Starts samples of earlier steps first, then samples of the groups nearest to completion, then the samples that
     * are expected to be longest, and generates later steps ahead within the staleness bound.
     *
     * @param nearestCompletion Whether samples of groups nearest to completion are started before others.
     * @param longestFirst Whether samples that are expected to be longest are started before others.
     * @param workAhead Whether samples of later steps are generated ahead.
     * @param earlyStop Whether generations are stopped once their samples are certain to be stale.
     * @param sharedByWeight Whether trainers share engines in proportion to their weights.
     */
    record Layered(
            boolean nearestCompletion,
            boolean longestFirst,
            boolean workAhead,
            boolean earlyStop,
            boolean sharedByWeight)
            implements SchedulePolicy {

        /** The policy with all options enabled. */
        public static final Layered ALL = new Layered(true, true, true, true, true);

        /** {@inheritDoc} */
        @Override
        public Comparator<Candidate> order() {
            Comparator<Candidate> order =
                    Comparator.comparingLong(candidate -> candidate.key().step());
            if (nearestCompletion) {
                order = order.thenComparing(Candidate::begun, Comparator.reverseOrder())
                        .thenComparingInt(candidate -> candidate.begun() ? candidate.unfinished() : 0);
            }
            if (longestFirst) {
                order = order.thenComparing(Candidate::expectedTokens, Comparator.reverseOrder());
            }
            return order.thenComparing(Candidate::key).thenComparingInt(Candidate::index);
        }
    }

    /**
     * Starts samples in the order in which their groups were accepted.
     *
     * @param workAhead Whether samples of later steps are generated ahead.
     */
    record FirstComeFirstServed(boolean workAhead) implements SchedulePolicy {

        /** {@inheritDoc} */
        @Override
        public Comparator<Candidate> order() {
            return Comparator.comparingLong(Candidate::sequence).thenComparingInt(Candidate::index);
        }

        /** {@inheritDoc} */
        @Override
        public boolean earlyStop() {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public boolean sharedByWeight() {
            return false;
        }
    }
}
