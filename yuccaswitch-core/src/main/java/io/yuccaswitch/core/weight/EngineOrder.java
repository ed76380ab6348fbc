package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.time.MonotonicTime;

/**
 * An order to an engine whose success has not been read back.
 *
 * @param fencingNumber The fencing number that the order was given under.
 * @param model The model that was ordered.
 * @param version The version that was ordered.
 * @param phase How far the order is.
 * @param since The time since which it is that far.
 */
record EngineOrder(long fencingNumber, String model, long version, Phase phase, MonotonicTime since) {

    /**
     * Returns whether an event is the end of this order.
     *
     * @param event The end of some order of the engine.
     * @return {@code true} if it is the end of this order.
     */
    boolean isEndedBy(WeightEvent.OrderEnded event) {
        return phase == Phase.FLYING
                && event.fencingNumber() == fencingNumber
                && event.model().equals(model)
                && event.version() == version;
    }

    /**
     * Returns whether the engine may be loading from the weight store.
     *
     * @return {@code true} if the engine may be loading.
     */
    boolean isLoading() {
        return phase != Phase.CLAIMED;
    }

    /**
     * Returns this order in another phase.
     *
     * @param changed The phase.
     * @param now The current time.
     * @return The changed order.
     */
    EngineOrder withPhase(Phase changed, MonotonicTime now) {
        return new EngineOrder(fencingNumber, model, version, changed, now);
    }

    /** How far an order is. */
    enum Phase {
        /** The order was given and has not ended. */
        FLYING,
        /** The order's answer is missing, and the engine may yet carry it out. */
        LOST,
        /** The engine said that it carried the order out, which has not been read back. */
        CLAIMED
    }
}
