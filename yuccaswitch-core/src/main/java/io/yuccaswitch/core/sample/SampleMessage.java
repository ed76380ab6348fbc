package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** A message between nodes about samples. Cursors travel as their texts, and an empty text stands for none. */
public sealed interface SampleMessage extends PeerMessage {

    /** The step of a message that names no step. */
    long ANY_STEP = -1;

    /**
     * Asks a node to hold a group that is to be generated, as its driver or its backup.
     *
     * @param specification The group.
     * @param submitted {@code true} if a trainer has just submitted the group, {@code false} if a holder passes it on.
     */
    record Store(GroupSpecification specification, boolean submitted) implements SampleMessage {}

    /**
     * Says that a node holds a group or knows that it was delivered.
     *
     * @param key The identity of the group.
     */
    record Stored(GroupKey key) implements SampleMessage {}

    /**
     * Says that a node does not hold a group and won't.
     *
     * @param key The identity of the group.
     * @param code The code of the reason.
     * @param retryAfterMillis The time after which it is worth to ask again, or zero if it never is.
     */
    record StoreRefused(GroupKey key, String code, long retryAfterMillis) implements SampleMessage {}

    /**
     * Asks a node to keep a finished group for its trainer.
     *
     * @param group The finished group.
     */
    record Keep(FinishedGroup group) implements SampleMessage {}

    /**
     * Says that a node keeps a finished group or knows that it was delivered.
     *
     * @param key The identity of the group.
     */
    record Kept(GroupKey key) implements SampleMessage {}

    /**
     * Asks a keeper which of some groups it neither keeps nor knows to be delivered.
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
     * @param missing The identities of the groups that the keeper neither keeps nor knows to be delivered.
     * @param cursor What the keeper knows to be delivered.
     */
    record Reconciled(TrainerName trainer, List<GroupKey> present, List<GroupKey> missing, String cursor)
            implements SampleMessage {}

    /**
     * Tells the holders of a group that a keeper discarded it, such that it has to run again.
     *
     * @param key The identity of the group.
     * @param run The run that was discarded.
     * @param reason The reason.
     */
    record Discarded(GroupKey key, int run, String reason) implements SampleMessage {}

    /**
     * Passes a trainer's pull on to a keeper.
     *
     * @param token The token that the answer bears.
     * @param trainer The trainer.
     * @param cursor The cursor of the trainer, or an empty text if it has none.
     * @param useVersion The weight version with which the trainer will use the samples.
     * @param step The only step to hand over, or {@link #ANY_STEP}.
     * @param maximumGroups The largest number of groups to hand over.
     * @param waitMillis The time to wait for groups.
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
     * @param cursor The cursor to present next.
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
     * @param retryAfterMillis The time after which it is worth to ask again, or zero if it never is.
     */
    record PullRefused(long token, String code, String message, long retryAfterMillis) implements SampleMessage {}

    /**
     * Tells a node what a trainer has taken.
     *
     * @param trainer The trainer.
     * @param cursor What the sender knows to be delivered.
     * @param sure {@code true} if the sender was sure of the whole cursor when it learned it.
     * @param answer {@code true} if the receiver shall answer with what it then knows.
     */
    record Acknowledge(TrainerName trainer, String cursor, boolean sure, boolean answer) implements SampleMessage {}

    /**
     * Asks a node what it knows of a trainer's cursor.
     *
     * @param trainer The trainer.
     */
    record AskCursor(TrainerName trainer) implements SampleMessage {}

    /**
     * Answers {@link AskCursor} or {@link Acknowledge}.
     *
     * @param trainer The trainer.
     * @param cursor What the sender knows to be delivered.
     * @param sure {@code true} if the sender was sure of the whole cursor when it learned it.
     */
    record CursorKnown(TrainerName trainer, String cursor, boolean sure) implements SampleMessage {}

    /**
     * Tells nodes how far a trainer has come.
     *
     * @param trainer The trainer.
     * @param step The step for which the trainer pulls, or {@link #ANY_STEP}.
     * @param useVersion The weight version with which the trainer uses the samples that it takes now.
     */
    record Progress(TrainerName trainer, long step, long useVersion) implements SampleMessage {}
}
