package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.configuration.Setting;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

/**
 * How the cloud is called, which takes reports of usage and orders of endpoints.
 *
 * @param address The address as host:port.
 * @param duties The names of what the site's nodes have to do there. Those that this release does not know are not
 *     done.
 * @param usageWindowSeconds The length of the windows for which usage is reported, in seconds.
 */
public record CloudSettings(
        @Setting(description = "The address of the cloud as host:port.") String address,
        @Setting(description = "What is to be done at the cloud: usage, scale.") List<String> duties,
        @Setting(
                        description = "The length of the windows for which usage is reported, in seconds.",
                        defaultValue = "60",
                        minimum = "0.1",
                        maximum = "86400")
                double usageWindowSeconds) {

    /** The milliseconds of a second. */
    private static final double MILLIS = 1000;

    /** Copies the duties. */
    public CloudSettings {
        duties = List.copyOf(duties);
    }

    /**
     * Returns whether a duty is to be done.
     *
     * @param duty The duty.
     * @return {@code true} if it is.
     */
    boolean includes(Duty duty) {
        return duties.contains(duty.name().toLowerCase(Locale.ROOT));
    }

    /**
     * Returns the length of the windows for which usage is reported.
     *
     * @return The length.
     */
    Duration usageWindow() {
        return Duration.ofMillis(Math.round(usageWindowSeconds * MILLIS));
    }

    /** What one node at a time does at the cloud. */
    enum Duty {
        /** It reports how much each client account uses. */
        USAGE,
        /** It orders endpoints. */
        SCALE
    }
}
