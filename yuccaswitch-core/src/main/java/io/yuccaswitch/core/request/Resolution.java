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
 * A row of the table of requests whose outcome is being searched for at other nodes and at endpoints.
 *
 * @param id The identifier of the request.
 * @param caller The caller that queries the outcome.
 * @param pool The pool of the request, or empty if it is unknown.
 * @param fallback The outcome if none is found.
 * @param lookup Whether a look-up waits for the outcome, in addition to a request that may wait for it.
 * @param phaseSince The time at which the current phase started.
 * @param peers The queried nodes that have not answered yet.
 * @param endpoints The queried endpoints that have not answered yet.
 * @param queryingEndpoints Whether the search has reached the phase that queries endpoints.
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
        boolean queryingEndpoints) {

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
        return new Resolution(id, caller, pool, fallback, true, phaseSince, peers, endpoints, queryingEndpoints);
    }

    /**
     * Returns this resolution without a node that answered.
     *
     * @param peer The node.
     * @return The changed resolution.
     */
    Resolution withoutPeer(NodeName peer) {
        Set<NodeName> remaining = new HashSet<>(peers);
        remaining.remove(peer);
        return new Resolution(id, caller, pool, fallback, lookup, phaseSince, remaining, endpoints, queryingEndpoints);
    }

    /**
     * Returns this resolution in the phase that queries endpoints.
     *
     * @param queried The queried endpoints.
     * @param now The current time.
     * @return The changed resolution.
     */
    Resolution queryingEndpoints(Set<EndpointName> queried, MonotonicTime now) {
        return new Resolution(id, caller, pool, fallback, lookup, now, Set.of(), queried, true);
    }

    /**
     * Returns this resolution without an endpoint that answered.
     *
     * @param endpoint The endpoint.
     * @return The changed resolution.
     */
    Resolution withoutEndpoint(EndpointName endpoint) {
        Set<EndpointName> remaining = new HashSet<>(endpoints);
        remaining.remove(endpoint);
        return new Resolution(id, caller, pool, fallback, lookup, phaseSince, peers, remaining, queryingEndpoints);
    }
}
