package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.configuration.Setting;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.node.NodeSettings;
import io.yuccaswitch.node.logging.LogSettings;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The settings of a node that serves as a gateway.
 *
 * @param name The node's name.
 * @param site The name of the site.
 * @param availabilityZone The availability zone.
 * @param region The region.
 * @param entryAddress The address for requests and batch jobs.
 * @param readinessAddress The address for readiness queries.
 * @param directoryAddress The address for queries of the entry addresses.
 * @param peerAddress The address for other nodes.
 * @param metricsAddress The address that serves metrics.
 * @param seeds The peer addresses to contact first.
 * @param platform The settings of the connection to the platform.
 * @param nodes The number of nodes that share the platform's rates.
 * @param orderSafetyTime The minimum time between orders of two nodes to engines.
 * @param stopTime The time after which a planned stop is ended by force.
 * @param processorShare The share of each core that the node may use.
 * @param cores How many times as fast as one core the node's processor is.
 * @param cloud The settings of calls to the cloud, if one is configured.
 * @param scheduling The settings of optional decisions under load, which are all off by default.
 * @param log The settings of logging.
 */
public record GatewaySettings(
        @Setting(description = "The node's name, unique within the site.") NodeName name,
        @Setting(description = "The name of the site, which all nodes of the site share.", defaultValue = "default")
                String site,
        @Setting(description = "The availability zone of the VM.") AvailabilityZone availabilityZone,
        @Setting(description = "The region of the VM.", defaultValue = "local") String region,
        @Setting(description = "The address for requests and batch jobs as host:port.") String entryAddress,
        @Setting(description = "The address for readiness queries as host:port.") String readinessAddress,
        @Setting(description = "The address for queries of the entry addresses as host:port.") String directoryAddress,
        @Setting(description = "The address for other nodes as host:port.") String peerAddress,
        @Setting(description = "The address that serves metrics as host:port.") String metricsAddress,
        @Setting(description = "The peer addresses of nodes to contact first.") List<String> seeds,
        @Setting(description = "The settings of the connection to the platform.")
                NodeSettings.PlatformSettings platform,
        @Setting(
                        description = "The number of nodes that share the platform's rates.",
                        defaultValue = "10",
                        minimum = "1",
                        maximum = "10000")
                int nodes,
        @Setting(
                        description = "The minimum time between orders of two nodes to engines.",
                        defaultValue = "3s",
                        minimum = "0s",
                        maximum = "10m")
                Duration orderSafetyTime,
        @Setting(
                        description = "The time after which a planned stop is ended by force.",
                        defaultValue = "8s",
                        minimum = "1s",
                        maximum = "1h")
                Duration stopTime,
        @Setting(
                        description = "The share of each core that the node may use.",
                        defaultValue = "1",
                        minimum = "0.01",
                        maximum = "1")
                double processorShare,
        @Setting(
                        description = "How many times as fast as one core the node's processor is.",
                        defaultValue = "1",
                        minimum = "0.01",
                        maximum = "1024")
                double cores,
        @Setting(description = "The settings of calls to the cloud, if one is configured.")
                Optional<CloudSettings> cloud,
        @Setting(description = "The settings of optional decisions under load, which are all off by default.")
                Optional<SchedulingSettings> scheduling,
        @Setting(description = "The settings of logging.") LogSettings log) {

    /** Copies the seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns the processing capacity of the node.
     *
     * @return The number of hundredths of a core.
     */
    int capacity() {
        return (int) Math.round(100 * processorShare * cores);
    }
}
