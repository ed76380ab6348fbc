package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.NodeName;
import java.util.HashSet;
import java.util.Set;

/**
 * The waiters for the outcome of a request.
 *
 * @param local Whether this node's shell or a system of this node waits.
 * @param peers The nodes that forwarded the request.
 */
record Waiters(boolean local, Set<Peer> peers) {

    /** No waiters. */
    static final Waiters NONE = new Waiters(false, Set.of());

    /** This node as the only waiter. */
    static final Waiters LOCAL = new Waiters(true, Set.of());

    /** Copies the set. */
    Waiters {
        peers = Set.copyOf(peers);
    }

    /**
     * Creates the waiters with a peer as the only one.
     *
     * @param peer The peer.
     * @param arrival The number of the request's arrival there.
     * @return The waiters.
     */
    static Waiters of(NodeName peer, long arrival) {
        return new Waiters(false, Set.of(new Peer(peer, arrival)));
    }

    /**
     * Returns the union of these waiters and others.
     *
     * @param others The others.
     * @return The union.
     */
    Waiters and(Waiters others) {
        Set<Peer> all = new HashSet<>(peers);
        all.addAll(others.peers);
        return new Waiters(local || others.local, all);
    }

    /**
     * Returns these waiters without this node.
     *
     * @return The waiters without this node.
     */
    Waiters withoutLocal() {
        return new Waiters(false, peers);
    }

    /**
     * Returns whether there are no waiters.
     *
     * @return {@code true} if there are no waiters.
     */
    boolean isEmpty() {
        return !local && peers.isEmpty();
    }

    /**
     * A node that forwarded the request.
     *
     * @param node The node.
     * @param arrival The number of the request's arrival there.
     */
    record Peer(NodeName node, long arrival) {}
}
