package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.EndpointName;

/** Something to ask of an endpoint that is not a request of a caller. */
public sealed interface EndpointEffect extends Effect {

    /**
     * Asks an endpoint for its state, to be answered by {@link EndpointEvent.Reported} or
     * {@link EndpointEvent.Unreachable}.
     *
     * @param endpoint The endpoint's name.
     * @param address The endpoint's address.
     */
    record Probe(EndpointName endpoint, String address) implements EndpointEffect {}
}
