package io.yuccaswitch.node.decision;

import java.time.Duration;

/** Observes how promptly a decision loop processes events. It is called on the loop's thread and must not block. */
public interface TickObserver {

    /**
     * Records a tick that processed events.
     *
     * @param waited How long the oldest event waited for the tick.
     * @param duration The duration of the tick, including the work of subscribers on the loop's thread.
     * @param events The number of events.
     */
    void onTick(Duration waited, Duration duration, int events);

    /** Ignores all ticks. */
    enum NoOp implements TickObserver {

        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public void onTick(Duration _waited, Duration _duration, int _events) {}
    }
}
