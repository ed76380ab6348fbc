package io.yuccaswitch.core.peer;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeName;

/** An effect that sends a message to another node. */
public sealed interface PeerEffect extends Effect {

    /**
     * Sends a message to another node. Delivery is not guaranteed: a message may be lost, or may arrive after later
     * ones if the connection was replaced in between.
     *
     * @param target The node to send to.
     * @param message The message to send.
     */
    record Send(NodeName target, PeerMessage message) implements PeerEffect {}

    /**
     * Sends a message to the node that listens at an address. It is used by a node that has no other node's name yet.
     *
     * @param address The address as {@code host:port}.
     * @param message The message to send.
     */
    record SendToAddress(String address, PeerMessage message) implements PeerEffect {}
}
