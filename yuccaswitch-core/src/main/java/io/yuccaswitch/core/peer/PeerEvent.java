package io.yuccaswitch.core.peer;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;

/** An event of the communication with other nodes. */
public sealed interface PeerEvent extends Event {

    /**
     * A message arrived from another node.
     *
     * @param sender The node and incarnation that sent the message, as stated in the greeting of its connection.
     * @param message The message.
     */
    record Received(NodeIdentity sender, PeerMessage message) implements PeerEvent {}

    /**
     * A message could not be sent because no connection to the node could be established.
     *
     * @param target The unreachable node.
     * @param message The message that was dropped.
     */
    record Undeliverable(NodeName target, PeerMessage message) implements PeerEvent {}
}
