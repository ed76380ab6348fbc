package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;

/** What callers ask about batch jobs, and what becomes of the attempts at engines. */
public sealed interface BatchEvent extends Event {

    /**
     * A batch job was submitted.
     *
     * @param ticket Identifies the call, which the answer bears.
     * @param job The job.
     * @param deadline By when the call has to be answered.
     */
    record Submitted(long ticket, BatchJob job, MonotonicTime deadline) implements BatchEvent {}

    /**
     * Results are asked for.
     *
     * @param ticket Identifies the call.
     * @param id The job.
     * @param position The position from which results are asked for.
     * @param until Until when the answer may wait for a result.
     * @param deadline By when the call has to be answered.
     */
    record ResultsRequested(long ticket, BatchJobId id, int position, MonotonicTime until, MonotonicTime deadline)
            implements BatchEvent {}

    /**
     * The body of an item is asked for.
     *
     * @param ticket Identifies the call.
     * @param id The job.
     * @param item The item.
     * @param deadline By when the call has to be answered.
     */
    record BodyRequested(long ticket, BatchJobId id, String item, MonotonicTime deadline) implements BatchEvent {}

    /**
     * A job is to be ended.
     *
     * @param ticket Identifies the call.
     * @param id The job.
     * @param deadline By when the call has to be answered.
     */
    record EndRequested(long ticket, BatchJobId id, MonotonicTime deadline) implements BatchEvent {}

    /**
     * An engine has begun to answer an attempt, such that it takes items of the model.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     * @param version The version of the weights under which the answer begins.
     */
    record AttemptBegun(BatchJobId id, String item, int attempt, long version) implements BatchEvent {}

    /**
     * Attempts have made progress.
     *
     * @param attempts How far they are.
     */
    record Progressed(List<Progress> attempts) implements BatchEvent {}

    /**
     * How far an attempt is.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     * @param events The number of events that have arrived.
     * @param since How long ago the answer began.
     */
    record Progress(BatchJobId id, String item, int attempt, long events, Duration since) {}

    /**
     * An attempt in progress has added events to the text of an item that has run for long.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     * @param after The identifier of the event behind which the added ones go on.
     * @param part The added events, and the versions under which they were made.
     */
    record TextGrown(BatchJobId id, String item, int attempt, long after, ItemText part) implements BatchEvent {}

    /**
     * An attempt to run an item has ended.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     * @param outcome What became of it.
     * @param text The events that arrived.
     */
    record AttemptEnded(BatchJobId id, String item, int attempt, AttemptOutcome outcome, ItemText text)
            implements BatchEvent {}

    /**
     * An attempt to score an output has ended.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt to score it.
     * @param outcome What became of it.
     * @param load The number of requests that the endpoint runs or that wait there, if it told.
     */
    record ScoringEnded(BatchJobId id, String item, int attempt, ScoringOutcome outcome, OptionalInt load)
            implements BatchEvent {}

    /** This node is about to stop: it takes no further jobs over. */
    record Leaving() implements BatchEvent {}
}
