package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.time.Duration;

/** What is to be done for batch jobs. */
public sealed interface BatchEffect extends Effect {

    /**
     * An item is to be run at an engine.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     * @param host The host of the job's route.
     * @param endpoint The engine.
     * @param lastEventId The identifier of the event behind which the engine goes on, or 0 to begin anew.
     * @param timeLeft How long the item may still take.
     * @param inDoubt Whether an engine may have ended under the item, such that it needs a connection of its own.
     */
    record Run(
            BatchJobId id,
            BatchItem item,
            int attempt,
            String host,
            RegisteredEndpoint endpoint,
            long lastEventId,
            Duration timeLeft,
            boolean inDoubt)
            implements BatchEffect {}

    /**
     * An attempt is to be broken off, and the engine must hear of it.
     *
     * @param id The job.
     * @param item The item's identifier.
     * @param attempt The number of the attempt.
     */
    record Cancel(BatchJobId id, String item, int attempt) implements BatchEffect {}

    /**
     * The whole output of an item is to be scored.
     *
     * @param id The job.
     * @param item The item's identifier.
     * @param attempt The number of the attempt to score it.
     * @param request The scoring request.
     * @param endpoint The endpoint.
     * @param timeLeft How long the attempt may take.
     * @param inDoubt Whether an endpoint may have ended under the request, such that it needs a connection of its own.
     */
    record Score(
            BatchJobId id,
            String item,
            int attempt,
            ScoringRequest request,
            RegisteredEndpoint endpoint,
            Duration timeLeft,
            boolean inDoubt)
            implements BatchEffect {}

    /**
     * An attempt to score an output is to be broken off.
     *
     * @param id The job.
     * @param item The item's identifier.
     * @param attempt The number of the attempt to score it.
     */
    record CancelScoring(BatchJobId id, String item, int attempt) implements BatchEffect {}

    /**
     * A call is answered.
     *
     * @param ticket Identifies the call.
     * @param answer The answer.
     */
    record Reply(long ticket, BatchAnswer answer) implements BatchEffect {}
}
