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
     * Sends a request to an endpoint, to be answered by exactly one {@link RequestEvent.AttemptEnded}.
     *
     * @param request The request.
     * @param attempt The number of the attempt, from one.
     * @param endpoint The endpoint to send to.
     * @param address The endpoint's address.
     * @param deadline The time by which the attempt must have ended.
     * @param resumeFrom What an earlier attempt generated, from which the engine goes on, or empty to begin anew.
     */
    record Send(
            Request request,
            int attempt,
            EndpointName endpoint,
            String address,
            MonotonicTime deadline,
            Optional<Generation> resumeFrom)
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
}
