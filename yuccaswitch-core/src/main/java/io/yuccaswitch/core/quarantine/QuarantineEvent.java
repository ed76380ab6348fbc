package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.EndpointName;

/** What happened to a request or an endpoint as far as it tells whether the request does harm. */
public sealed interface QuarantineEvent extends Event {

    /**
     * An attempt that may have run brought no usable answer.
     *
     * @param fingerprint The request.
     * @param description The method, host and path, for operators.
     * @param endpoint The endpoint.
     * @param loss What that says of the endpoint.
     */
    record AnswerLost(RequestFingerprint fingerprint, String description, EndpointName endpoint, Loss loss)
            implements QuarantineEvent {}

    /**
     * Nothing listens at an endpoint's address, as far as this node can tell: the path there may refuse it instead, so
     * other nodes are not told.
     *
     * @param endpoint The endpoint.
     */
    record EndpointEnded(EndpointName endpoint) implements QuarantineEvent {}

    /**
     * An endpoint answered a request whole and with success.
     *
     * @param fingerprint The request.
     */
    record Served(RequestFingerprint fingerprint) implements QuarantineEvent {}

    /**
     * A request that was held is let through.
     *
     * @param fingerprint The request.
     */
    record TrialBegun(RequestFingerprint fingerprint) implements QuarantineEvent {}

    /**
     * An operator lets a request go.
     *
     * @param fingerprint The request.
     */
    record Released(RequestFingerprint fingerprint) implements QuarantineEvent {}
}
