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
 * Picks the endpoints that one node routes to and probes, such that a node's state does not grow with the fleet. The
 * node's own availability zone goes first; within a zone, rendezvous hashing by node and endpoint picks, so that an
 * endpoint that comes or goes changes only its own place.
 */
public final class EndpointSubset {

    /** This class has no instances. */
    private EndpointSubset() {}

    /**
     * Picks the subset of a node.
     *
     * @param node The node.
     * @param availabilityZone The node's availability zone.
     * @param endpoints The endpoints to pick from.
     * @param size The largest size of the subset.
     * @return The picked endpoints.
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
     * @return The weight, where the highest ones are picked.
     */
    private static long weight(NodeName node, EndpointName endpoint) {
        String text = node + "\n" + endpoint;
        return Hashing.farmHashFingerprint64()
                        .hashString(text, StandardCharsets.UTF_8)
                        .asLong()
                >>> 1;
    }
}
