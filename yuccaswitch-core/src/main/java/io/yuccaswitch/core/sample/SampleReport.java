package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.TrainerName;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * A node's report of the samples of its trainers. The counts of all nodes can be summed up, except for those that
 * depend on the cursor.
 *
 * @param trainers The reports by trainer.
 */
public record SampleReport(Map<TrainerName, Trainer> trainers) {

    /** Copies the map. */
    public SampleReport {
        trainers = Map.copyOf(trainers);
    }

    /**
     * The report of one trainer.
     *
     * @param driven The number of groups that this node drives.
     * @param backedUp The number of groups that this node backs up.
     * @param generating The number of samples that are being generated.
     * @param queued The number of samples that wait for their generation.
     * @param scoring The number of generated samples that are not yet scored.
     * @param ready The number of finished groups that this node keeps.
     * @param handedOver The number of groups that this node handed over and that the trainer acknowledged.
     * @param samples The number of samples in those groups.
     * @param staleness The number of those samples by the number of versions that they lagged behind. The last entry
     *     counts all samples with a greater lag, too.
     * @param discarded The number of discarded samples by reason.
     * @param discardedTokens The number of tokens of discarded samples.
     * @param tokens The number of tokens that were generated and accepted.
     * @param groupsCompleted The number of groups that this node completed.
     * @param completionMean The mean time from the acceptance of a group to its completion.
     * @param completionMaximum The maximum of that time.
     * @param stragglers The number of samples whose generation took several times the usual time.
     * @param waiting The time that the trainer's pulls waited, by cause.
     */
    public record Trainer(
            int driven,
            int backedUp,
            int generating,
            int queued,
            int scoring,
            int ready,
            long handedOver,
            long samples,
            List<Long> staleness,
            Map<DiscardReason, Long> discarded,
            long discardedTokens,
            long tokens,
            long groupsCompleted,
            Duration completionMean,
            Duration completionMaximum,
            long stragglers,
            Map<WaitCause, Duration> waiting) {

        /** Copies the collections. */
        public Trainer {
            staleness = List.copyOf(staleness);
            discarded = Map.copyOf(discarded);
            waiting = Map.copyOf(waiting);
        }
    }

    /** The cause for which a pull waits. */
    public enum WaitCause {
        /** No group is finished at the keeper. */
        NOTHING_FINISHED,
        /** The record of the groups that the trainer has received is not yet durable. */
        ACKNOWLEDGEMENT,
        /** The groups that the trainer has received are not yet determined. */
        CURSOR_UNKNOWN
    }
}
