package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.EndpointName;

/** An effect that sends a service call to an endpoint, as opposed to a caller's request. */
public sealed interface EndpointEffect extends Effect {

    /**
     * Requests the state of an endpoint. The result is {@link EndpointEvent.Reported} or
     * {@link EndpointEvent.Unreachable}.
     *
     * @param endpoint The endpoint's name.
     * @param address The endpoint's address.
     */
    record Probe(EndpointName endpoint, String address) implements EndpointEffect {}

    /**
     * Reads the changes of an endpoint's prefix cache. The result is any number of {@link EndpointEvent.PrefixCached}.
     *
     * @param endpoint The endpoint's name.
     * @param address The endpoint's address.
     */
    record ReadCacheEvents(EndpointName endpoint, String address) implements EndpointEffect {}
}
