package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.time.MonotonicTime;

/**
 * An order to an engine whose success has not been confirmed by a read-back.
 *
 * @param fencingNumber The fencing number under which the order was sent.
 * @param model The model that was ordered.
 * @param version The version that was ordered.
 * @param phase The phase of the order.
 * @param since The time at which the phase began.
 */
record EngineOrder(long fencingNumber, String model, long version, Phase phase, MonotonicTime since) {

    /**
     * Returns whether an event is the end of this order.
     *
     * @param event The end of some order of the engine.
     * @return {@code true} if it is the end of this order.
     */
    boolean isEndedBy(WeightEvent.OrderEnded event) {
        return phase == Phase.IN_FLIGHT
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
        return phase != Phase.ACCEPTED_UNCONFIRMED;
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

    /** The phase of an order. */
    enum Phase {
        /** The order was sent and has not ended. */
        IN_FLIGHT,
        /** The order's answer is missing, and the engine may still execute it. */
        ANSWER_MISSING,
        /** The engine reported success, which has not been confirmed by a read-back. */
        ACCEPTED_UNCONFIRMED
    }
}
