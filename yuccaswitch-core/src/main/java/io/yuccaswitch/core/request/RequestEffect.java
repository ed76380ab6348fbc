package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Optional;

/** An action that the shell performs for a request. */
public sealed interface RequestEffect extends Effect {

    /**
     * Returns the identifier of the request.
     *
     * @return The identifier of the request.
     */
    RequestId id();

    /**
     * Sends a request to an endpoint; the shell answers with exactly one {@link RequestEvent.AttemptEnded}. The
     * progress and the result of an attempt that resumes a generation cover the complete generation, beginning with the
     * part that it resumed from. Attempts are numbered over all requests of the node, so that a late result is never
     * attributed to a newer attempt.
     *
     * @param request The request.
     * @param attempt The number of the attempt, from one.
     * @param endpoint The endpoint to send to.
     * @param address The endpoint's address.
     * @param deadline The time by which the attempt must have ended.
     * @param resumeFrom The partial generation of an earlier attempt that the engine resumes from, or empty to start
     *     from the beginning.
     * @param suspected Whether an endpoint may have terminated because of the request, so that the request needs a
     *     connection of its own.
     */
    record Send(
            Request request,
            int attempt,
            EndpointName endpoint,
            String address,
            MonotonicTime deadline,
            Optional<Generation> resumeFrom,
            boolean suspected)
            implements RequestEffect {

        /** {@inheritDoc} */
        @Override
        public RequestId id() {
            return request.id();
        }
    }

    /**
     * Cancels an attempt; the shell still reports its end with a {@link RequestEvent.AttemptEnded}.
     *
     * @param id The identifier of the request.
     * @param attempt The number of the attempt.
     */
    record CancelAttempt(RequestId id, int attempt) implements RequestEffect {}

    /**
     * Delivers the outcome of a request to the local waiter.
     *
     * @param id The identifier of the request.
     * @param outcome The outcome.
     */
    record Conclude(RequestId id, Outcome outcome) implements RequestEffect {}

    /**
     * Delivers the generation so far to the caller of a streaming request. The text of each such effect begins with the
     * text of the previous one, also after a resume at another engine, so that the shell sends only the part that it
     * has not sent yet.
     *
     * @param id The identifier of the request.
     * @param generated The generation so far, over all attempts.
     */
    record Stream(RequestId id, Generation generated) implements RequestEffect {}

    /**
     * Queries an endpoint for the outcome of a request; the shell answers with exactly one
     * {@link RequestEvent.Settled}.
     *
     * @param id The identifier of the request.
     * @param endpoint The endpoint to query.
     * @param address The endpoint's address.
     */
    record Settle(RequestId id, EndpointName endpoint, String address) implements RequestEffect {}

    /**
     * Answers a {@link RequestEvent.LookupArrived}.
     *
     * @param id The identifier of the request.
     * @param outcome The outcome of the request, as far as it is known.
     */
    record LookedUp(RequestId id, Outcome outcome) implements RequestEffect {}
}
