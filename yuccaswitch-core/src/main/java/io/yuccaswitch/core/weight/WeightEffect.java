package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;

/** An effect that concerns the weights of engines. */
public sealed interface WeightEffect extends Effect {

    /**
     * Orders an engine to load a version. The shell answers with exactly one {@link WeightEvent.OrderEnded}, at the
     * latest when the order's timeout has passed, and must not send the order at or after the end of its validity.
     *
     * @param endpoint The engine.
     * @param address The engine's address as {@code host:port}.
     * @param fencingNumber The fencing number of the lease under which the order is sent.
     * @param model The model or adapter to load.
     * @param version The version to load.
     * @param location The location of the weights in the weight store.
     * @param validUntil The end of the order's validity, from which on it must not be sent.
     */
    record Order(
            EndpointName endpoint,
            String address,
            long fencingNumber,
            String model,
            long version,
            String location,
            MonotonicTime validUntil)
            implements WeightEffect {}
}
