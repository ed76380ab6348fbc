package io.yuccaswitch.node.decision;

import io.yuccaswitch.core.decision.Event;

/** Takes events from the shell to the decision core. */
@FunctionalInterface
public interface EventSink {

    /**
     * Hands an event to the next tick. This method may be called from any thread and does not block.
     *
     * @param event The event.
     */
    void accept(Event event);
}
