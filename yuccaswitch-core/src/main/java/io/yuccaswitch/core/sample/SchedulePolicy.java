package io.yuccaswitch.core.sample;

import java.util.Comparator;

/** Orders the samples of one trainer that wait for their generation. */
public interface SchedulePolicy {

    /**
     * Returns the order in which waiting samples are begun.
     *
     * @return The order, first to begin first.
     */
    Comparator<Candidate> order();

    /**
     * Returns whether samples of later steps may be begun while the staleness bound allows it.
     *
     * @return {@code true} if samples may be begun ahead.
     */
    boolean workAhead();

    /**
     * Returns whether a generation is stopped when its sample can only be past the staleness bound.
     *
     * @return {@code true} if such a generation is stopped.
     */
    boolean earlyStop();

    /**
     * Returns whether trainers share engines by their weights.
     *
     * @return {@code true} if trainers share by weight, {@code false} if the first to come is served first.
     */
    boolean sharedByWeight();

    /**
     * A sample that waits for its generation.
     *
     * @param key The identity of the group.
     * @param index The index of the sample in its group.
     * @param sequence The number that counts groups in the order of their acceptance.
     * @param begun {@code true} if any sample of the group was begun.
     * @param unfinished The number of samples of the group that are not finished.
     * @param expectedTokens The number of tokens that the sample is expected to have.
     */
    record Candidate(GroupKey key, int index, long sequence, boolean begun, int unfinished, int expectedTokens) {}

    /**
     * Begins samples of earlier steps first, then those of groups nearest to completion, then the longest expected, and
     * works ahead inside the staleness bound.
     *
     * @param nearestCompletion Whether groups nearest to completion go before others.
     * @param longestFirst Whether the longest expected samples go before others.
     * @param workAhead Whether samples of later steps are begun ahead.
     * @param earlyStop Whether generations of samples that can only be stale are stopped.
     * @param sharedByWeight Whether trainers share engines by their weights.
     */
    record Layered(
            boolean nearestCompletion,
            boolean longestFirst,
            boolean workAhead,
            boolean earlyStop,
            boolean sharedByWeight)
            implements SchedulePolicy {

        /** The policy with all of its parts. */
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
     * Begins samples in the order in which their groups were accepted.
     *
     * @param workAhead Whether samples of later steps are begun as their turn comes.
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
