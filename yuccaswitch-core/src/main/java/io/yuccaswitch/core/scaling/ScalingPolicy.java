package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.identity.AvailabilityZone;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Decides how many endpoints a pool should have. */
public interface ScalingPolicy {

    /**
     * Returns the numbers that a pool should have.
     *
     * @param input What decides it.
     * @return The number of endpoints in each availability zone that the cloud offers.
     */
    Map<AvailabilityZone, Integer> desired(ScalingInput input);

    /** As many as there are: what is lost is replaced, and nothing else changes. */
    final class AsManyAsNow implements ScalingPolicy {

        /** The most that each availability zone has had. */
        private final Map<AvailabilityZone, Integer> most = new HashMap<>();

        @Override
        public Map<AvailabilityZone, Integer> desired(ScalingInput input) {
            Map<AvailabilityZone, Integer> desired = new HashMap<>();
            input.terms().prices().keySet().forEach(zone -> {
                int seen = most.merge(zone, input.working().getOrDefault(zone, 0), Math::max);
                desired.put(zone, input.terms().bounded(seen));
            });
            return desired;
        }
    }

    /**
     * A place for each request that would run now. Requests of trainers that train in turn come in bursts, and a place
     * that one has to wait for delays a whole step. Endpoints are spread over the availability zones, such that the
     * loss of one costs its share only; what is left over goes where a second costs least.
     */
    final class PlaceForEach implements ScalingPolicy {

        @Override
        public Map<AvailabilityZone, Integer> desired(ScalingInput input) {
            List<AvailabilityZone> cheapestFirst = input.terms().prices().entrySet().stream()
                    .sorted(Comparator.comparing(Map.Entry<AvailabilityZone, Double>::getValue)
                            .thenComparing(entry -> entry.getKey().value()))
                    .map(Map.Entry::getKey)
                    .toList();
            Map<AvailabilityZone, Integer> desired = new HashMap<>();
            if (cheapestFirst.isEmpty()) {
                return desired;
            }
            int slots = Math.max(1, input.slots());
            int wanted = (input.demand() + slots - 1) / slots;
            int each = wanted / cheapestFirst.size();
            int left = wanted % cheapestFirst.size();
            for (AvailabilityZone zone : cheapestFirst) {
                desired.put(zone, input.terms().bounded(each + (left > 0 ? 1 : 0)));
                left--;
            }
            return desired;
        }
    }
}
