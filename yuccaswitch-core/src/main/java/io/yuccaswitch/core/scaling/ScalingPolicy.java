package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.identity.AvailabilityZone;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides how many endpoints a pool should have: one slot for each request that would currently run. Trainers that take
 * turns send their requests in bursts, and a request that has to wait for a slot delays a whole step. Endpoints are
 * distributed evenly over the availability zones, so that the loss of a zone removes only its share; the remainder goes
 * to the cheapest zones.
 */
final class ScalingPolicy {

    /** This class has no instances. */
    private ScalingPolicy() {}

    /**
     * Returns the desired numbers of endpoints of a pool.
     *
     * @param terms The terms of the pool.
     * @param slots The number of requests that an endpoint runs concurrently.
     * @param demand The number of requests that would currently run if the pool had enough slots.
     * @return The desired number of endpoints by availability zone.
     */
    static Map<AvailabilityZone, Integer> desired(ScalingTerms terms, int slots, int demand) {
        List<AvailabilityZone> cheapestFirst = terms.prices().entrySet().stream()
                .sorted(Comparator.comparing(Map.Entry<AvailabilityZone, Double>::getValue)
                        .thenComparing(entry -> entry.getKey().value()))
                .map(Map.Entry::getKey)
                .toList();
        Map<AvailabilityZone, Integer> desired = new HashMap<>();
        if (cheapestFirst.isEmpty()) {
            return desired;
        }
        int slotsPerEndpoint = Math.max(1, slots);
        int wanted = (demand + slotsPerEndpoint - 1) / slotsPerEndpoint;
        int perZone = wanted / cheapestFirst.size();
        int remainder = wanted % cheapestFirst.size();
        for (AvailabilityZone zone : cheapestFirst) {
            desired.put(zone, terms.clamp(perZone + (remainder > 0 ? 1 : 0)));
            remainder--;
        }
        return desired;
    }
}
