package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.EndpointName;

/** Something that happened to a request. */
public sealed interface RequestEvent extends Event {

    /**
     * Returns the identifier of the request.
     *
     * @return The identifier of the request.
     */
    RequestId id();

    /**
     * A request arrived from a caller, or was raised by a system that needs samples generated.
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
     * An attempt received a part of a generation.
     *
     * @param id The identifier of the request.
     * @param attempt The number of the attempt, from one.
     * @param partial What was generated so far, in whole tokens, beginning with what the attempt resumed from.
     */
    record Progressed(RequestId id, int attempt, Generation partial) implements RequestEvent {}

    /**
     * An attempt ended.
     *
     * @param id The identifier of the request.
     * @param attempt The number of the attempt, from one.
     * @param endpoint The endpoint that the attempt went to.
     * @param result The result of the attempt.
     */
    record AttemptEnded(RequestId id, int attempt, EndpointName endpoint, AttemptResult result)
            implements RequestEvent {}

    /**
     * A request reached its outcome. The request path raises this for the systems that run after it, and emits
     * {@link RequestEffect.Conclude} for the shell.
     *
     * @param id The identifier of the request.
     * @param outcome The outcome.
     */
    record Concluded(RequestId id, Outcome outcome) implements RequestEvent {}

    /**
     * A caller asks what became of a request, to be answered by {@link RequestEffect.LookedUp}.
     *
     * @param id The identifier of the request.
     * @param caller The caller that asks.
     */
    record LookupArrived(RequestId id, CallerName caller) implements RequestEvent {}

    /**
     * An endpoint was asked what became of a request.
     *
     * @param id The identifier of the request.
     * @param endpoint The endpoint that was asked.
     * @param result What the endpoint said.
     */
    record Settled(RequestId id, EndpointName endpoint, SettlementResult result) implements RequestEvent {}
}
