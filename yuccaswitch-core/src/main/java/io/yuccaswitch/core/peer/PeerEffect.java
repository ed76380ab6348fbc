package io.yuccaswitch.core.peer;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeName;

/** An effect that concerns other nodes. */
public sealed interface PeerEffect extends Effect {

    /**
     * Sends a message to another node. Delivery is not guaranteed: a message may be lost, and may arrive after later
     * ones if the connection was replaced meanwhile.
     *
     * @param target The node to send to.
     * @param message The message to send.
     */
    record Send(NodeName target, PeerMessage message) implements PeerEffect {}

    /**
     * Sends a message to whichever node listens at an address. This serves a node that does not yet know any name.
     *
     * @param address The address as {@code host:port}.
     * @param message The message to send.
     */
    record SendToAddress(String address, PeerMessage message) implements PeerEffect {}
}
