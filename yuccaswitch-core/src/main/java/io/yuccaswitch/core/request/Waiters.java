package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.NodeName;
import java.util.HashSet;
import java.util.Set;

/**
 * Who waits for the outcome of a request.
 *
 * @param local Whether this node's shell or a system of this node waits.
 * @param peers The nodes that passed on the request.
 */
record Waiters(boolean local, Set<Peer> peers) {

    /** Nobody. */
    static final Waiters NONE = new Waiters(false, Set.of());

    /** This node alone. */
    static final Waiters LOCAL = new Waiters(true, Set.of());

    /** Copies the set. */
    Waiters {
        peers = Set.copyOf(peers);
    }

    /**
     * Returns a peer as the only one that waits.
     *
     * @param peer The peer.
     * @param arrival The number of the request's arrival there.
     * @return The waiters.
     */
    static Waiters of(NodeName peer, long arrival) {
        return new Waiters(false, Set.of(new Peer(peer, arrival)));
    }

    /**
     * Returns these waiters and others.
     *
     * @param others The others.
     * @return All of them.
     */
    Waiters and(Waiters others) {
        Set<Peer> all = new HashSet<>(peers);
        all.addAll(others.peers);
        return new Waiters(local || others.local, all);
    }

    /**
     * Returns these waiters without this node.
     *
     * @return The peers.
     */
    Waiters withoutLocal() {
        return new Waiters(false, peers);
    }

    /**
     * Returns whether nobody waits.
     *
     * @return {@code true} if nobody waits.
     */
    boolean isEmpty() {
        return !local && peers.isEmpty();
    }

    /**
     * A node that passed on the request.
     *
     * @param node The node.
     * @param arrival The number of the request's arrival there.
     */
    record Peer(NodeName node, long arrival) {}
}
