package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.identity.AvailabilityZone;
import java.util.Map;

/**
 * What decides how many endpoints a pool should have.
 *
 * @param terms What the cloud offers.
 * @param working The number of working endpoints in each availability zone.
 * @param slots The number of requests that an endpoint runs at once.
 * @param demand The number of requests that would run now if there were places for all.
 */
public record ScalingInput(ScalingTerms terms, Map<AvailabilityZone, Integer> working, int slots, int demand) {

    /** Copies the numbers. */
    public ScalingInput {
        working = Map.copyOf(working);
    }

    /**
     * Returns the number of working endpoints in all availability zones.
     *
     * @return The number.
     */
    int allWorking() {
        return working.values().stream().mapToInt(Integer::intValue).sum();
    }
}
