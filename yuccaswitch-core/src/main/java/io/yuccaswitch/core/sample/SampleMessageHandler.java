package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;

/** A part of the sample systems that handles messages from nodes, including this one. */
interface SampleMessageHandler {

    /**
     * Handles a message. Messages of types that the handler does not process are ignored.
     *
     * @param tick The current tick.
     * @param sender The node that sent the message.
     * @param message The message.
     */
    void receive(Tick tick, NodeIdentity sender, SampleMessage message);

    /**
     * Runs after the messages of the tick were handled.
     *
     * @param tick The current tick.
     */
    void run(Tick tick);
}
