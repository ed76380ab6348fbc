package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;

/** Something that the membership wants of the shell. */
public sealed interface MembershipEffect extends Effect {

    /**
     * Remembers where a node listens for others.
     *
     * @param node The node.
     * @param peerAddress The address as {@code host:port}.
     */
    record LearnAddress(NodeName node, String peerAddress) implements MembershipEffect {}

    /**
     * Forgets where a node listens.
     *
     * @param node The node.
     */
    record ForgetAddress(NodeName node) implements MembershipEffect {}

    /**
     * Greets with another identity from now on.
     *
     * @param identity The identity of this node.
     */
    record Identify(NodeIdentity identity) implements MembershipEffect {}
}
