package io.yuccaswitch.node;

import io.yuccaswitch.core.configuration.Setting;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.node.logging.LogSettings;
import java.util.List;
import java.util.Optional;

/**
 * The local settings of a node, which are separate from the configuration of the fleet.
 *
 * @param name The node's name.
 * @param site The name of the site, which all nodes of the site share.
 * @param availabilityZone The availability zone of the VM.
 * @param region The region of the VM.
 * @param entryAddress The address for callers and trainers as {@code host:port}.
 * @param peerAddress The address for other nodes as {@code host:port}.
 * @param operatorAddress The address for operators as {@code host:port}.
 * @param seeds The peer addresses of the nodes to contact first when the platform does not answer.
 * @param platform The settings of the connection to the platform.
 * @param peerToken The token that all nodes of the site share.
 * @param operatorToken The token that operators present.
 * @param dataFolder The folder on a small disk, if the VM has one.
 * @param log The settings of the logs.
 */
public record NodeSettings(
        @Setting(description = "The node's name, unique within the site.") NodeName name,
        @Setting(description = "The name of the site, which all nodes of the site share.", defaultValue = "default")
                String site,
        @Setting(description = "The availability zone that the VM lies in.") AvailabilityZone availabilityZone,
        @Setting(description = "The region that the VM lies in.", defaultValue = "local") String region,
        @Setting(description = "The address for callers and trainers as host:port.") String entryAddress,
        @Setting(description = "The address for other nodes as host:port.") String peerAddress,
        @Setting(description = "The address for operators as host:port.") String operatorAddress,
        @Setting(description = "The peer addresses of nodes to ask first when the platform does not answer.")
                List<String> seeds,
        @Setting(description = "How the platform is reached.") PlatformSettings platform,
        @Setting(description = "The token that all nodes of the site share.") Optional<String> peerToken,
        @Setting(description = "The token that operators present.") Optional<String> operatorToken,
        @Setting(description = "The folder on a small disk, if the VM has one.") Optional<String> dataFolder,
        @Setting(description = "How the node writes its logs.") LogSettings log) {

    /** Copies the seeds. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * The settings of the connection to the platform.
     *
     * @param address The platform's address as {@code host:port}.
     * @param token The bearer token for the platform.
     * @param writesPerSecond The maximum writes per second that the platform accepts from all nodes together.
     * @param readsPerSecond The maximum reads per second that the platform accepts from all nodes together.
     */
    public record PlatformSettings(
            @Setting(description = "The platform's address as host:port.") String address,
            @Setting(description = "The bearer token for the platform.") Optional<String> token,
            @Setting(
                            description = "The writes a second that the platform takes from all nodes together.",
                            defaultValue = "300",
                            minimum = "1",
                            maximum = "1000000")
                    double writesPerSecond,
            @Setting(
                            description = "The reads a second that the platform takes from all nodes together.",
                            defaultValue = "2000",
                            minimum = "1",
                            maximum = "1000000")
                    double readsPerSecond) {}
}
