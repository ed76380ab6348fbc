package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.time.Duration;
import java.util.OptionalInt;

/** Effects that the batch system requests. */
public sealed interface BatchEffect extends Effect {

    /**
     * Runs an item at an engine.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     * @param host The host of the job's route.
     * @param endpoint The engine.
     * @param lastEventId The identifier of the event after which the engine resumes, or 0 to start from the beginning.
     * @param timeLeft The time that remains for the item.
     * @param uncertain Whether the item may have caused an engine to end, and therefore needs a separate connection.
     * @param priority The priority at the engine, from 0 (highest) to 9, or empty to state none.
     */
    record Run(
            BatchJobId id,
            BatchItem item,
            int attempt,
            String host,
            RegisteredEndpoint endpoint,
            long lastEventId,
            Duration timeLeft,
            boolean uncertain,
            OptionalInt priority)
            implements BatchEffect {}

    /**
     * Cancels an attempt and notifies the engine.
     *
     * @param id The job.
     * @param item The item's identifier.
     * @param attempt The number of the attempt.
     */
    record Cancel(BatchJobId id, String item, int attempt) implements BatchEffect {}

    /**
     * Requests the score of the complete output of an item.
     *
     * @param id The job.
     * @param item The item's identifier.
     * @param attempt The number of the scoring attempt.
     * @param request The scoring request.
     * @param endpoint The endpoint.
     * @param timeLeft The time allowed for the attempt.
     * @param uncertain Whether the request may have caused an endpoint to end, and therefore needs a separate
     *     connection.
     */
    record Score(
            BatchJobId id,
            String item,
            int attempt,
            ScoringRequest request,
            RegisteredEndpoint endpoint,
            Duration timeLeft,
            boolean uncertain)
            implements BatchEffect {}

    /**
     * Cancels a scoring attempt.
     *
     * @param id The job.
     * @param item The item's identifier.
     * @param attempt The number of the scoring attempt.
     */
    record CancelScoring(BatchJobId id, String item, int attempt) implements BatchEffect {}

    /**
     * Answers a call.
     *
     * @param ticket The identifier of the call.
     * @param answer The answer.
     */
    record Reply(long ticket, BatchAnswer answer) implements BatchEffect {}
}
