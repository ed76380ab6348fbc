package io.yuccaswitch.integration.site;

import java.time.Duration;
import java.util.List;

/** The size and the parameters of a site. */
public record SiteShape(
        List<String> availabilityZones,
        int engines,
        int services,
        boolean settlesRequests,
        boolean engineFencing,
        Duration addressValidity,
        int stalenessBound,
        int iterationMicros,
        int medianTokens) {

    /** Returns a small version of Padma's site. */
    public static SiteShape small() {
        return new SiteShape(
                List.of("salt-lake", "new-town", "howrah"), 4, 2, false, true, Duration.ofSeconds(2), 1, 2_000, 24);
    }

    public SiteShape withEngines(int count) {
        return new SiteShape(
                availabilityZones,
                count,
                services,
                settlesRequests,
                engineFencing,
                addressValidity,
                stalenessBound,
                iterationMicros,
                medianTokens);
    }

    public SiteShape withSettlement() {
        return new SiteShape(
                availabilityZones,
                engines,
                services,
                true,
                engineFencing,
                addressValidity,
                stalenessBound,
                iterationMicros,
                medianTokens);
    }
}
