package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.identity.AvailabilityZone;
import java.time.Duration;
import java.util.Map;

/**
 * The terms on which the cloud provides endpoints for a pool.
 *
 * @param minimum The minimum number of endpoints in an availability zone.
 * @param maximum The maximum number of endpoints in an availability zone.
 * @param startTime The time from the order of an endpoint until it serves requests.
 * @param prices The relative price of one second of an endpoint in each availability zone.
 */
public record ScalingTerms(int minimum, int maximum, Duration startTime, Map<AvailabilityZone, Double> prices) {

    /** Copies the prices and checks the bounds. */
    public ScalingTerms {
        prices = Map.copyOf(prices);
        if (minimum < 0 || maximum < minimum) {
            throw new IllegalArgumentException(
                    "Invalid bounds of the number of endpoints: " + minimum + " to " + maximum);
        }
    }

    /**
     * Clamps a number of endpoints to the bounds.
     *
     * @param wanted The number.
     * @return The number, or the nearest bound.
     */
    int clamp(int wanted) {
        return Math.max(minimum, Math.min(maximum, wanted));
    }
}
