package io.yuccaswitch.node.decision;

import io.yuccaswitch.core.decision.Event;

/** Passes events from the I/O around the decision core to the core. */
@FunctionalInterface
public interface EventSink {

    /**
     * Queues an event for the next tick. This method may be called from any thread and does not block.
     *
     * @param event The event.
     */
    void accept(Event event);
}
