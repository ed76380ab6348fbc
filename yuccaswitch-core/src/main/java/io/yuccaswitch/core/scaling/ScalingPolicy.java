package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.identity.AvailabilityZone;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides how many endpoints a pool should have: a place for each request that would run now. Requests of trainers that
 * train in turn come in bursts, and one that has to wait for a place delays a whole step. Endpoints are spread over the
 * availability zones, such that the loss of one costs its share only; what is left over goes where a second costs
 * least.
 */
final class ScalingPolicy {

    /** This class has no instances. */
    private ScalingPolicy() {}

    /**
     * Returns the numbers that a pool should have.
     *
     * @param terms What the cloud offers.
     * @param slots The number of requests that an endpoint runs at once.
     * @param demand The number of requests that would run now if there were places for all.
     * @return The number of endpoints in each availability zone that the cloud offers.
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
        int places = Math.max(1, slots);
        int wanted = (demand + places - 1) / places;
        int each = wanted / cheapestFirst.size();
        int left = wanted % cheapestFirst.size();
        for (AvailabilityZone zone : cheapestFirst) {
            desired.put(zone, terms.bounded(each + (left > 0 ? 1 : 0)));
            left--;
        }
        return desired;
    }
}
