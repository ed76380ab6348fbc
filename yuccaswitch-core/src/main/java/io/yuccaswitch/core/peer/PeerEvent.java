package io.yuccaswitch.core.peer;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;

/** An event that concerns other nodes. */
public sealed interface PeerEvent extends Event {

    /**
     * A message arrived from another node.
     *
     * @param sender The node and incarnation that sent the message, as its connection's greeting said.
     * @param message The message.
     */
    record Received(NodeIdentity sender, PeerMessage message) implements PeerEvent {}

    /**
     * A message could not be handed to the network because no connection to the node could be made.
     *
     * @param target The node that can't be reached.
     * @param message The message that was dropped.
     */
    record Undeliverable(NodeName target, PeerMessage message) implements PeerEvent {}
}
