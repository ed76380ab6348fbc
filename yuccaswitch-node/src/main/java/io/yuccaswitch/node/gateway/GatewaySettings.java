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
 * @param readinessAddress The address for the question whether the node is ready.
 * @param directoryAddress The address for the question which entry addresses to use.
 * @param peerAddress The address for other nodes.
 * @param metricsAddress The address that serves metrics.
 * @param seeds The peer addresses to ask first.
 * @param platform How the platform is reached.
 * @param nodes The number of nodes that share the platform's rates.
 * @param orderSafetyTime The least time between orders of two nodes.
 * @param stopTime The time in which a planned stop must be done.
 * @param processorShare The share of each core that the node may use.
 * @param cores How many times as fast as one core the node's processor is.
 * @param cloud How the cloud is called, where there is one.
 * @param log How the node writes its logs.
 */
public record GatewaySettings(
        @Setting(description = "The node's name, unique within the site.") NodeName name,
        @Setting(description = "The name of the site, which all nodes of the site share.", defaultValue = "default")
                String site,
        @Setting(description = "The availability zone that the VM lies in.") AvailabilityZone availabilityZone,
        @Setting(description = "The region that the VM lies in.", defaultValue = "local") String region,
        @Setting(description = "The address for requests and batch jobs as host:port.") String entryAddress,
        @Setting(description = "The address that tells whether the node is ready, as host:port.")
                String readinessAddress,
        @Setting(description = "The address that tells which entry addresses to use, as host:port.")
                String directoryAddress,
        @Setting(description = "The address for other nodes as host:port.") String peerAddress,
        @Setting(description = "The address that serves metrics as host:port.") String metricsAddress,
        @Setting(description = "The peer addresses of nodes to ask first.") List<String> seeds,
        @Setting(description = "How the platform is reached.") NodeSettings.PlatformSettings platform,
        @Setting(
                        description = "The number of nodes that share the platform's rates.",
                        defaultValue = "10",
                        minimum = "1",
                        maximum = "10000")
                int nodes,
        @Setting(
                        description = "The least time between orders of two nodes to engines.",
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
        @Setting(description = "How the cloud is called, where there is one.") Optional<CloudSettings> cloud,
        @Setting(description = "How the node writes its logs.") LogSettings log) {

    /** Copies the seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns what the node's processors can do.
     *
     * @return The number of hundredths of a core.
     */
    int capacity() {
        return (int) Math.round(100 * processorShare * cores);
    }
}
