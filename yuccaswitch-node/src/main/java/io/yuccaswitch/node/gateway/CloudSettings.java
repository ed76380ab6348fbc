package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.configuration.Setting;
import java.time.Duration;
import java.util.List;

/**
 * How the cloud is called, which takes reports of usage and orders of endpoints.
 *
 * @param address The address as host:port.
 * @param duties What the site's nodes have to do there.
 * @param usageWindow The length of the windows for which usage is reported.
 */
public record CloudSettings(
        @Setting(description = "The address of the cloud as host:port.") String address,
        @Setting(description = "What is to be done at the cloud.") List<Duty> duties,
        @Setting(
                        description = "The length of the windows for which usage is reported.",
                        defaultValue = "60s",
                        minimum = "1s",
                        maximum = "24h")
                Duration usageWindow) {

    /** Copies the duties. */
    public CloudSettings {
        duties = List.copyOf(duties);
    }

    /** What one node at a time does at the cloud. */
    public enum Duty {
        /** It reports how much each client account uses. */
        USAGE,
        /** It orders endpoints. */
        SCALE
    }
}
