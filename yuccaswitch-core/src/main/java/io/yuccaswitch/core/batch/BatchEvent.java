package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;

/** Events about batch jobs: requests of callers, and the progress and outcomes of attempts. */
public sealed interface BatchEvent extends Event {

    /**
     * A batch job was submitted.
     *
     * @param ticket The identifier of the call, which the answer repeats.
     * @param job The job.
     * @param deadline The time by which the call must be answered.
     */
    record Submitted(long ticket, BatchJob job, MonotonicTime deadline) implements BatchEvent {}

    /**
     * Results were requested.
     *
     * @param ticket The identifier of the call.
     * @param id The job.
     * @param position The position of the first requested result.
     * @param until The time until which the answer may wait for a result.
     * @param deadline The time by which the call must be answered.
     */
    record ResultsRequested(long ticket, BatchJobId id, int position, MonotonicTime until, MonotonicTime deadline)
            implements BatchEvent {}

    /**
     * The body of an item was requested.
     *
     * @param ticket The identifier of the call.
     * @param id The job.
     * @param item The item.
     * @param deadline The time by which the call must be answered.
     */
    record BodyRequested(long ticket, BatchJobId id, String item, MonotonicTime deadline) implements BatchEvent {}

    /**
     * The end of a job was requested.
     *
     * @param ticket The identifier of the call.
     * @param id The job.
     * @param deadline The time by which the call must be answered.
     */
    record EndRequested(long ticket, BatchJobId id, MonotonicTime deadline) implements BatchEvent {}

    /**
     * An engine has started to answer an attempt, which shows that it accepts items of the model.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     * @param version The version of the weights at the start of the answer.
     */
    record AttemptStarted(BatchJobId id, String item, int attempt, long version) implements BatchEvent {}

    /**
     * Attempts have made progress.
     *
     * @param attempts The progress of each attempt.
     */
    record Progressed(List<Progress> attempts) implements BatchEvent {}

    /**
     * The progress of an attempt.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     * @param events The number of received events.
     * @param since The time since the answer started.
     */
    record Progress(BatchJobId id, String item, int attempt, long events, Duration since) {}

    /**
     * An attempt in progress has added events to the text of a long-running item.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     * @param after The identifier of the event that precedes the added ones.
     * @param part The added events, and the versions that generated them.
     */
    record TextGrown(BatchJobId id, String item, int attempt, long after, ItemText part) implements BatchEvent {}

    /**
     * An attempt to run an item has ended.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     * @param outcome The outcome of the attempt.
     * @param text The received events.
     */
    record AttemptEnded(BatchJobId id, String item, int attempt, AttemptOutcome outcome, ItemText text)
            implements BatchEvent {}

    /**
     * An attempt to score an output has ended.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt to score it.
     * @param outcome The outcome of the attempt.
     * @param load The number of requests that run or wait at the endpoint, if it reported that number.
     */
    record ScoringEnded(BatchJobId id, String item, int attempt, ScoringOutcome outcome, OptionalInt load)
            implements BatchEvent {}

    /** This node is about to stop and takes over no further jobs. */
    record Leaving() implements BatchEvent {}
}
