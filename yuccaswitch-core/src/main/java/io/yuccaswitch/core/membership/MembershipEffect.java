package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;

/** An instruction of the membership to the shell. */
public sealed interface MembershipEffect extends Effect {

    /**
     * Registers the peer address of a node.
     *
     * @param node The node.
     * @param peerAddress The address as {@code host:port}.
     */
    record RegisterAddress(NodeName node, String peerAddress) implements MembershipEffect {}

    /**
     * Removes the peer address of a node.
     *
     * @param node The node.
     */
    record RemoveAddress(NodeName node) implements MembershipEffect {}

    /**
     * Changes the identity that this node presents to others.
     *
     * @param identity The identity of this node.
     */
    record Identify(NodeIdentity identity) implements MembershipEffect {}
}
