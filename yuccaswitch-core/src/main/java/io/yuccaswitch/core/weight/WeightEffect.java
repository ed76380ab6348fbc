package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;

/** An effect that concerns the weights of engines. */
public sealed interface WeightEffect extends Effect {

    /**
     * Orders an engine to load a version, to be answered by exactly one {@link WeightEvent.OrderEnded}. The shell must
     * not send the order at or after its end of validity, and must give its answer at the latest when the order's
     * timeout has passed.
     *
     * @param endpoint The engine.
     * @param address The engine's address as {@code host:port}.
     * @param fencingNumber The fencing number of the lease that the order is given under.
     * @param model The model or adapter to load.
     * @param version The version to load.
     * @param location The place of the weights in the weight store.
     * @param validUntil The time from which on the order must no longer be sent.
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
