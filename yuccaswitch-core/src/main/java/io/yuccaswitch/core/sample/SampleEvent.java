package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.TrainerName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** A request of a trainer to this node. */
public sealed interface SampleEvent extends Event {

    /**
     * A trainer submitted groups, to be answered by one {@link SampleEffect.AnswerSubmission}.
     *
     * @param token The token of the answer, unique within the process.
     * @param trainer The trainer.
     * @param groups The groups, all of this trainer.
     */
    record Submitted(long token, TrainerName trainer, List<GroupSpecification> groups) implements SampleEvent {}

    /**
     * A trainer pulls finished groups, to be answered by one {@link SampleEffect.AnswerPull}.
     *
     * @param token The token of the answer, unique within the process.
     * @param trainer The trainer.
     * @param cursor The cursor of the groups that the trainer has received, or empty if the trainer lost it.
     * @param useVersion The weight version with which the trainer will use the samples.
     * @param step The step whose groups are handed over, or empty for any step.
     * @param maximumGroups The maximum number of groups to hand over.
     * @param maximumWait The maximum time to wait for groups.
     */
    record PullRequested(
            long token,
            TrainerName trainer,
            Optional<String> cursor,
            long useVersion,
            OptionalLong step,
            int maximumGroups,
            Duration maximumWait)
            implements SampleEvent {}

    /**
     * The trainer no longer waits for the answer to a pull.
     *
     * @param token The token of the pull.
     */
    record PullAbandoned(long token) implements SampleEvent {}
}
