package io.yuccaswitch.core.routing;

import com.google.common.hash.Hashing;
import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the endpoints that one node routes to and probes, so that a node's state does not grow with the fleet.
 * Endpoints in the node's own availability zone are preferred. Within a zone, endpoints are selected by rendezvous
 * hashing of node and endpoint, so that adding or removing an endpoint changes only one member of the subset.
 */
public final class EndpointSubset {

    /** This class has no instances. */
    private EndpointSubset() {}

    /**
     * Selects the subset of a node.
     *
     * @param node The node.
     * @param availabilityZone The node's availability zone.
     * @param endpoints The endpoints to select from.
     * @param size The maximum size of the subset.
     * @return The selected endpoints.
     */
    public static List<Endpoint> pick(
            NodeName node, AvailabilityZone availabilityZone, Collection<Endpoint> endpoints, int size) {
        if (endpoints.size() <= size) {
            return List.copyOf(endpoints);
        }
        List<Endpoint> ranked = new ArrayList<>(endpoints);
        ranked.sort(Comparator.comparing(
                        (Endpoint endpoint) -> !endpoint.availabilityZone().equals(availabilityZone))
                .thenComparing(Comparator.comparingLong((Endpoint endpoint) -> weight(node, endpoint.name()))
                        .reversed())
                .thenComparing(Endpoint::name));
        return List.copyOf(ranked.subList(0, size));
    }

    /**
     * Computes the rendezvous weight of an endpoint for a node.
     *
     * @param node The node.
     * @param endpoint The endpoint.
     * @return The weight, where the highest ones are selected.
     */
    private static long weight(NodeName node, EndpointName endpoint) {
        String text = node + "\n" + endpoint;
        return Hashing.farmHashFingerprint64()
                        .hashString(text, StandardCharsets.UTF_8)
                        .asLong()
                >>> 1;
    }
}
