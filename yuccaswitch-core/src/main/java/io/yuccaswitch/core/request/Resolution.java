package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A row of the table of requests whose outcome is searched at other nodes and at endpoints.
 *
 * @param id The identifier of the request.
 * @param caller The caller that asks.
 * @param pool The pool of the request, or empty if it is not known.
 * @param fallback The outcome if nobody knows more.
 * @param lookup Whether a look-up waits for the outcome, beside a request that may wait for it.
 * @param phaseSince The time since which the present phase runs.
 * @param peers The nodes that were asked and have not answered yet.
 * @param endpoints The endpoints that were asked and have not answered yet.
 * @param askingEndpoints Whether the endpoints were asked already.
 */
record Resolution(
        RequestId id,
        CallerName caller,
        Optional<PoolName> pool,
        Outcome fallback,
        boolean lookup,
        MonotonicTime phaseSince,
        Set<NodeName> peers,
        Set<EndpointName> endpoints,
        boolean askingEndpoints) {

    /** Copies the sets. */
    Resolution {
        peers = Set.copyOf(peers);
        endpoints = Set.copyOf(endpoints);
    }

    /**
     * Returns this resolution with a look-up that waits for it.
     *
     * @return The changed resolution.
     */
    Resolution withLookup() {
        return new Resolution(id, caller, pool, fallback, true, phaseSince, peers, endpoints, askingEndpoints);
    }

    /**
     * Returns this resolution without a node that answered.
     *
     * @param peer The node.
     * @return The changed resolution.
     */
    Resolution withoutPeer(NodeName peer) {
        Set<NodeName> left = new HashSet<>(peers);
        left.remove(peer);
        return new Resolution(id, caller, pool, fallback, lookup, phaseSince, left, endpoints, askingEndpoints);
    }

    /**
     * Returns this resolution asking endpoints.
     *
     * @param asked The endpoints that are asked.
     * @param now The time.
     * @return The changed resolution.
     */
    Resolution askingEndpoints(Set<EndpointName> asked, MonotonicTime now) {
        return new Resolution(id, caller, pool, fallback, lookup, now, Set.of(), asked, true);
    }

    /**
     * Returns this resolution without an endpoint that answered.
     *
     * @param endpoint The endpoint.
     * @return The changed resolution.
     */
    Resolution withoutEndpoint(EndpointName endpoint) {
        Set<EndpointName> left = new HashSet<>(endpoints);
        left.remove(endpoint);
        return new Resolution(id, caller, pool, fallback, lookup, phaseSince, peers, left, askingEndpoints);
    }
}
