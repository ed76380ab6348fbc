package io.yuccaswitch.protocol;

import io.yuccaswitch.core.identity.NodeName;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Resolves the names of nodes to the addresses on which they listen for other nodes. */
@FunctionalInterface
public interface PeerAddressBook {

    /**
     * Finds the address of a node. This method is safe to call from any thread and does not block.
     *
     * @param node The node's name.
     * @return The address, or empty if it is unknown.
     */
    Optional<InetSocketAddress> find(NodeName node);
}
