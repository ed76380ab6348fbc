package io.yuccaswitch.protocol;

import io.yuccaswitch.core.identity.NodeName;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Knows where nodes listen for other nodes. */
@FunctionalInterface
public interface PeerAddressBook {

    /**
     * Finds the address of a node. This method may be called from any thread and does not block.
     *
     * @param node The node's name.
     * @return The address, or empty if it is not known.
     */
    Optional<InetSocketAddress> find(NodeName node);
}
