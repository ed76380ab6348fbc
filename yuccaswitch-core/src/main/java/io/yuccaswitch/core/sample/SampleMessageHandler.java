package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;

/** A part of the sample systems that takes messages from nodes, this one included. */
interface SampleMessageHandler {

    /**
     * Takes a message. Messages that are none of the handler's business are left alone.
     *
     * @param tick The current tick.
     * @param sender The node that sent the message.
     * @param message The message.
     */
    void receive(Tick tick, NodeIdentity sender, SampleMessage message);

    /**
     * Runs after the messages of the tick were taken.
     *
     * @param tick The current tick.
     */
    void run(Tick tick);
}
