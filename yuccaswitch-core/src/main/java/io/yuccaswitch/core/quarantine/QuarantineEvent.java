package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.EndpointName;

/** The events of requests and endpoints that show whether a request makes endpoints terminate. */
public sealed interface QuarantineEvent extends Event {

    /**
     * An attempt that may have run returned no usable answer.
     *
     * @param fingerprint The request.
     * @param description The method, host and path, for operators.
     * @param endpoint The endpoint.
     * @param loss Why no usable answer was returned.
     */
    record AnswerLost(RequestFingerprint fingerprint, String description, EndpointName endpoint, Loss loss)
            implements QuarantineEvent {}

    /**
     * Nothing listens at an endpoint's address, as observed by this node. This is not announced to other nodes, as only
     * the network path from this node may be refusing connections.
     *
     * @param endpoint The endpoint.
     */
    record EndpointEnded(EndpointName endpoint) implements QuarantineEvent {}

    /**
     * An endpoint terminated while it processed accepted work, which is never suspect. Unlike {@link EndpointEnded},
     * this is announced to other nodes, as an attempt was lost with it.
     *
     * @param endpoint The endpoint.
     */
    record EndpointLost(EndpointName endpoint) implements QuarantineEvent {}

    /**
     * An endpoint returned a complete, successful answer to a request.
     *
     * @param fingerprint The request.
     */
    record Served(RequestFingerprint fingerprint) implements QuarantineEvent {}

    /**
     * A held request is let through for a trial.
     *
     * @param fingerprint The request.
     */
    record TrialBegun(RequestFingerprint fingerprint) implements QuarantineEvent {}

    /**
     * An operator releases a request from quarantine.
     *
     * @param fingerprint The request.
     */
    record Released(RequestFingerprint fingerprint) implements QuarantineEvent {}
}
