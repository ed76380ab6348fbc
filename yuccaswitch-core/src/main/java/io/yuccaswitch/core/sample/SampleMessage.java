package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/**
 * A message between nodes about samples. Cursors are transferred in their text encoding, where an empty text means that
 * there is no cursor.
 */
public sealed interface SampleMessage extends PeerMessage {

    /** The step of a message that is not restricted to a step. */
    long ANY_STEP = -1;

    /**
     * Requests that a node holds a group as its driver or backup.
     *
     * @param specification The group.
     * @param submitted {@code true} if a trainer submitted the group, {@code false} if a holder transfers it.
     */
    record Store(GroupSpecification specification, boolean submitted) implements SampleMessage {}

    /**
     * Confirms that a node holds a group or has recorded its delivery.
     *
     * @param key The identity of the group.
     */
    record Stored(GroupKey key) implements SampleMessage {}

    /**
     * Reports that a node refuses to hold a group.
     *
     * @param key The identity of the group.
     * @param code The code of the reason.
     * @param retryAfterMillis The time after which the trainer may retry, or zero if a retry is useless.
     */
    record StoreRefused(GroupKey key, String code, long retryAfterMillis) implements SampleMessage {}

    /**
     * Requests that a node keeps a finished group for its trainer.
     *
     * @param group The finished group.
     */
    record Keep(FinishedGroup group) implements SampleMessage {}

    /**
     * Confirms that a node keeps a finished group or has recorded its delivery.
     *
     * @param key The identity of the group.
     */
    record Kept(GroupKey key) implements SampleMessage {}

    /**
     * Queries a keeper which of the given groups it keeps, and which are missing there.
     *
     * @param trainer The trainer of the groups.
     * @param keys The identities of the groups.
     */
    record Reconcile(TrainerName trainer, List<GroupKey> keys) implements SampleMessage {}

    /**
     * Answers {@link Reconcile}.
     *
     * @param trainer The trainer of the groups.
     * @param present The identities of the groups that the keeper keeps.
     * @param missing The identities of the groups that the keeper neither keeps nor has recorded as delivered.
     * @param cursor The encoded cursor that the keeper has recorded.
     */
    record Reconciled(TrainerName trainer, List<GroupKey> present, List<GroupKey> missing, String cursor)
            implements SampleMessage {}

    /**
     * Notifies the holders of a group that a keeper discarded it, so that it must be run again.
     *
     * @param key The identity of the group.
     * @param run The run that was discarded.
     * @param reason The reason.
     */
    record Discarded(GroupKey key, int run, String reason) implements SampleMessage {}

    /**
     * Forwards a trainer's pull to a keeper.
     *
     * @param token The token of the answer.
     * @param trainer The trainer.
     * @param cursor The cursor of the trainer, or an empty text if it has none.
     * @param useVersion The weight version with which the trainer will use the samples.
     * @param step The step whose groups are handed over, or {@link #ANY_STEP}.
     * @param maximumGroups The maximum number of groups to hand over.
     * @param waitMillis The maximum time to wait for groups.
     */
    record Pull(
            long token,
            TrainerName trainer,
            String cursor,
            long useVersion,
            long step,
            int maximumGroups,
            long waitMillis)
            implements SampleMessage {}

    /**
     * Answers {@link Pull} with groups.
     *
     * @param token The token of the pull.
     * @param cursor The cursor to present with the next pull.
     * @param groups The groups.
     * @param remaining The number of further groups that are ready.
     */
    record PullAnswered(long token, String cursor, List<FinishedGroup> groups, int remaining)
            implements SampleMessage {}

    /**
     * Answers {@link Pull} with a refusal.
     *
     * @param token The token of the pull.
     * @param code The code of the reason.
     * @param message The explanation for the trainer.
     * @param retryAfterMillis The time after which the trainer may retry, or zero if a retry is useless.
     */
    record PullRefused(long token, String code, String message, long retryAfterMillis) implements SampleMessage {}

    /**
     * Reports a trainer's cursor to a node.
     *
     * @param trainer The trainer.
     * @param cursor The encoded cursor that the sender has recorded.
     * @param complete {@code true} if the sender's cursor is complete: it was guaranteed to contain all groups that the
     *     trainer had received when it was recorded.
     * @param answerRequested {@code true} if the receiver must answer with the cursor that it then has recorded.
     */
    record Acknowledge(TrainerName trainer, String cursor, boolean complete, boolean answerRequested)
            implements SampleMessage {}

    /**
     * Queries a node for its recorded cursor of a trainer.
     *
     * @param trainer The trainer.
     */
    record QueryCursor(TrainerName trainer) implements SampleMessage {}

    /**
     * Answers {@link QueryCursor} or {@link Acknowledge}.
     *
     * @param trainer The trainer.
     * @param cursor The encoded cursor that the sender has recorded.
     * @param complete {@code true} if the sender's cursor is complete: it was guaranteed to contain all groups that the
     *     trainer had received when it was recorded.
     */
    record CursorAnswered(TrainerName trainer, String cursor, boolean complete) implements SampleMessage {}

    /**
     * Announces the progress of a trainer.
     *
     * @param trainer The trainer.
     * @param step The step for which the trainer pulls, or {@link #ANY_STEP}.
     * @param useVersion The weight version with which the trainer uses the samples that it currently receives.
     */
    record Progress(TrainerName trainer, long step, long useVersion) implements SampleMessage {}
}
