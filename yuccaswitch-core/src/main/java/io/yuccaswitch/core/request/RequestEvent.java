package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.EndpointName;

/** An event that concerns a request. */
public sealed interface RequestEvent extends Event {

    /**
     * Returns the identifier of the request.
     *
     * @return The identifier of the request.
     */
    RequestId id();

    /**
     * A request arrived from a caller, or was created by a system that generates samples.
     *
     * @param request The request.
     */
    record Arrived(Request request) implements RequestEvent {

        /** {@inheritDoc} */
        @Override
        public RequestId id() {
            return request.id();
        }
    }

    /**
     * The caller no longer waits for the answer.
     *
     * @param id The identifier of the request.
     */
    record Cancelled(RequestId id) implements RequestEvent {}

    /**
     * An attempt received part of a generation.
     *
     * @param id The identifier of the request.
     * @param attempt The number of the attempt, from one.
     * @param partial The generation so far, in complete tokens, beginning with the part that the attempt resumed from.
     */
    record Progressed(RequestId id, int attempt, Generation partial) implements RequestEvent {}

    /**
     * An attempt ended.
     *
     * @param id The identifier of the request.
     * @param attempt The number of the attempt, from one.
     * @param endpoint The endpoint that the attempt was sent to.
     * @param result The result of the attempt.
     */
    record AttemptEnded(RequestId id, int attempt, EndpointName endpoint, AttemptResult result)
            implements RequestEvent {}

    /**
     * A request was concluded. The request path raises this event for the systems that run after it, and emits
     * {@link RequestEffect.Conclude} for the shell.
     *
     * @param id The identifier of the request.
     * @param outcome The outcome.
     */
    record Concluded(RequestId id, Outcome outcome) implements RequestEvent {}

    /**
     * A caller queries the outcome of a request, which is answered by {@link RequestEffect.LookedUp}.
     *
     * @param id The identifier of the request.
     * @param caller The caller that queries the outcome.
     */
    record LookupArrived(RequestId id, CallerName caller) implements RequestEvent {}

    /**
     * An endpoint was queried for the outcome of a request.
     *
     * @param id The identifier of the request.
     * @param endpoint The queried endpoint.
     * @param result The result of the query.
     */
    record Settled(RequestId id, EndpointName endpoint, SettlementResult result) implements RequestEvent {}
}
