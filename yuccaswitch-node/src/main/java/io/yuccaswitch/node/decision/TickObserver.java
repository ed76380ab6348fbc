package io.yuccaswitch.node.decision;

import java.time.Duration;

/** Takes note of how promptly a decision loop takes events. It is called on the loop's thread and must not block. */
public interface TickObserver {

    /**
     * Takes note of a tick that had events.
     *
     * @param waited How long the oldest event waited for the tick.
     * @param took How long the tick took, with all that subscribers did on the loop's thread.
     * @param events The number of events.
     */
    void ticked(Duration waited, Duration took, int events);

    /** Ignores all ticks. */
    enum NoOp implements TickObserver {

        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public void ticked(Duration _waited, Duration _took, int _events) {}
    }
}
