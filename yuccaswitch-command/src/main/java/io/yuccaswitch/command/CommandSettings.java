package io.yuccaswitch.command;

import io.yuccaswitch.core.configuration.Setting;
import io.yuccaswitch.core.identity.NodeName;
import java.util.Map;
import java.util.Optional;

/**
 * The settings of the command, which options and environment variables override.
 *
 * @param platform The address and token of the platform.
 * @param operators The operator addresses of the nodes by node name.
 * @param operatorToken The token that operators present to nodes.
 */
public record CommandSettings(
        @Setting(description = "How the platform is reached.") Optional<PlatformAccess> platform,
        @Setting(description = "The addresses for operators of the nodes as host:port by the nodes' names.")
                Map<NodeName, String> operators,
        @Setting(description = "The token that operators present to nodes.") Optional<String> operatorToken) {

    /** The settings without any values. */
    public static final CommandSettings EMPTY = new CommandSettings(Optional.empty(), Map.of(), Optional.empty());

    /** Copies the addresses. */
    public CommandSettings {
        operators = Map.copyOf(operators);
    }

    /**
     * The address and token of the platform.
     *
     * @param address The platform's address as host:port.
     * @param token The bearer token for the platform.
     */
    public record PlatformAccess(
            @Setting(description = "The platform's address as host:port.") String address,
            @Setting(description = "The bearer token for the platform.") Optional<String> token) {}
}
