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

    /**
     * Reads what changed in the prefix cache of an endpoint, to be answered by any number of
     * {@link EndpointEvent.PrefixCached}.
     *
     * @param endpoint The endpoint's name.
     * @param address The endpoint's address.
     */
    record ReadCacheEvents(EndpointName endpoint, String address) implements EndpointEffect {}
}
