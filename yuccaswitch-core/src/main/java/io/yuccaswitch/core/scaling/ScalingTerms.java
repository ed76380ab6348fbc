package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.identity.AvailabilityZone;
import java.time.Duration;
import java.util.Map;

/**
 * What the cloud offers for a pool.
 *
 * @param minimum The least number of endpoints in an availability zone.
 * @param maximum The largest number of endpoints in an availability zone.
 * @param startTime How long a new endpoint takes until it serves.
 * @param prices What a second of an endpoint costs in each availability zone, against each other.
 */
public record ScalingTerms(int minimum, int maximum, Duration startTime, Map<AvailabilityZone, Double> prices) {

    /** Copies the prices and checks the bounds. */
    public ScalingTerms {
        prices = Map.copyOf(prices);
        if (minimum < 0 || maximum < minimum) {
            throw new IllegalArgumentException("Not bounds of a number of endpoints: " + minimum + " to " + maximum);
        }
    }

    /**
     * Keeps a number within the bounds.
     *
     * @param wanted The number.
     * @return The number, or the bound that is nearest.
     */
    int bounded(int wanted) {
        return Math.max(minimum, Math.min(maximum, wanted));
    }
}
