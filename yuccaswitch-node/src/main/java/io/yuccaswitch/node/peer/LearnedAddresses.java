package io.yuccaswitch.node.peer;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.protocol.PeerAddressBook;
import io.yuccaswitch.protocol.PeerAddresses;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;

/** The peer addresses of other nodes that the membership has learned. */
public final class LearnedAddresses implements PeerAddressBook {

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(LearnedAddresses.class);

    /** The addresses by the names of the nodes. */
    private final Map<NodeName, InetSocketAddress> addresses = new ConcurrentHashMap<>();

    /** {@inheritDoc} */
    @Override
    public Optional<InetSocketAddress> find(NodeName node) {
        return Optional.ofNullable(addresses.get(node));
    }

    /**
     * Records the address of a node.
     *
     * @param node The node.
     * @param address The address as {@code host:port}.
     */
    public void learn(NodeName node, String address) {
        Optional<InetSocketAddress> parsed = PeerAddresses.parse(address);
        if (parsed.isEmpty()) {
            LOGGER.warnf("event=peer-address-invalid node=%s address=%s", node, address);
        }
        parsed.ifPresent(learned -> addresses.put(node, learned));
    }

    /**
     * Removes the address of a node.
     *
     * @param node The node.
     */
    public void forget(NodeName node) {
        addresses.remove(node);
    }
}
