package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Optional;

/** Something that the shell does for a request. */
public sealed interface RequestEffect extends Effect {

    /**
     * Returns the identifier of the request.
     *
     * @return The identifier of the request.
     */
    RequestId id();

    /**
     * Sends a request to an endpoint, to be answered by exactly one {@link RequestEvent.AttemptEnded}. The progress and
     * the result of an attempt that resumes a generation cover the whole generation: what it resumed from comes first.
     * Attempts are numbered over all requests of the node, so that a late result never counts for a newer attempt.
     *
     * @param request The request.
     * @param attempt The number of the attempt, from one.
     * @param endpoint The endpoint to send to.
     * @param address The endpoint's address.
     * @param deadline The time by which the attempt must have ended.
     * @param resumeFrom What an earlier attempt generated, from which the engine goes on, or empty to begin anew.
     * @param inDoubt Whether an endpoint may have ended under the request, such that it needs a connection of its own.
     */
    record Send(
            Request request,
            int attempt,
            EndpointName endpoint,
            String address,
            MonotonicTime deadline,
            Optional<Generation> resumeFrom,
            boolean inDoubt)
            implements RequestEffect {

        /** {@inheritDoc} */
        @Override
        public RequestId id() {
            return request.id();
        }
    }

    /**
     * Stops an attempt, which still ends by an {@link RequestEvent.AttemptEnded}.
     *
     * @param id The identifier of the request.
     * @param attempt The number of the attempt.
     */
    record CancelAttempt(RequestId id, int attempt) implements RequestEffect {}

    /**
     * Gives a request's outcome to whoever waits for it.
     *
     * @param id The identifier of the request.
     * @param outcome The outcome.
     */
    record Conclude(RequestId id, Outcome outcome) implements RequestEffect {}

    /**
     * Gives the caller of a streaming request what was generated so far. The text of each such effect begins with the
     * text of the one before, also after a resume at another engine, so that the shell sends on what it has not sent
     * yet.
     *
     * @param id The identifier of the request.
     * @param generated All that was generated so far, over all attempts.
     */
    record Stream(RequestId id, Generation generated) implements RequestEffect {}

    /**
     * Asks an endpoint what became of a request, to be answered by exactly one {@link RequestEvent.Settled}.
     *
     * @param id The identifier of the request.
     * @param endpoint The endpoint to ask.
     * @param address The endpoint's address.
     */
    record Settle(RequestId id, EndpointName endpoint, String address) implements RequestEffect {}

    /**
     * Answers a {@link RequestEvent.LookupArrived}.
     *
     * @param id The identifier of the request.
     * @param outcome What became of the request, as far as it can be told.
     */
    record LookedUp(RequestId id, Outcome outcome) implements RequestEffect {}
}
