package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.configuration.Setting;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

/**
 * The settings of calls to the cloud, which receives usage reports and orders of endpoints.
 *
 * @param address The address as host:port.
 * @param duties The names of the duties that the site's nodes perform there. Names that this release does not support
 *     are ignored.
 * @param usageWindowSeconds The length of the windows for which usage is reported, in seconds.
 */
public record CloudSettings(
        @Setting(description = "The address of the cloud as host:port.") String address,
        @Setting(description = "The duties to perform at the cloud: usage, scale.") List<String> duties,
        @Setting(
                        description = "The length of the windows for which usage is reported, in seconds.",
                        defaultValue = "60",
                        minimum = "0.1",
                        maximum = "86400")
                double usageWindowSeconds) {

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** Copies the duties. */
    public CloudSettings {
        duties = List.copyOf(duties);
    }

    /**
     * Returns whether the settings include a duty.
     *
     * @param duty The duty.
     * @return {@code true} if they do.
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
        return Duration.ofMillis(Math.round(usageWindowSeconds * MILLIS_PER_SECOND));
    }

    /** A duty that one node at a time performs at the cloud. */
    enum Duty {
        /** Reports the usage of each client account. */
        USAGE,
        /** Orders endpoints. */
        SCALE
    }
}
