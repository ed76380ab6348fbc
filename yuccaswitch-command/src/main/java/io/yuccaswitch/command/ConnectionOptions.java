package io.yuccaswitch.command;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The options of subcommands that call the platform or nodes. */
public final class ConnectionOptions {

    /** The platform's address. */
    @Parameter(
            names = "--platform",
            description = "The platform's address as host:port. Environment: YUCCASWITCH_PLATFORM.")
    private String platform;

    /** The bearer token for the platform. */
    @Parameter(
            names = "--platform-token",
            description = "The bearer token for the platform. Environment: YUCCASWITCH_PLATFORM_TOKEN.")
    private String platformToken;

    /** The operator addresses of the nodes. */
    @Parameter(
            names = "--operator",
            description = "The address for operators of a node as [name=]host:port; may be repeated."
                    + " Environment: YUCCASWITCH_OPERATORS, separated by commas.")
    private List<String> operators = new ArrayList<>();

    /** The token that operators present to nodes. */
    @Parameter(
            names = "--operator-token",
            description = "The token that operators present to nodes. Environment: YUCCASWITCH_OPERATOR_TOKEN.")
    private String operatorToken;

    /** The settings file of the command. */
    @Parameter(
            names = "--settings",
            description = "A file or folder with the addresses and tokens above as JSON with comments."
                    + " Environment: YUCCASWITCH_SETTINGS.")
    private String settings;

    /** Creates options with default values. */
    public ConnectionOptions() {}

    /**
     * Returns the platform's address.
     *
     * @return The address, or empty if it was not given.
     */
    public Optional<String> platform() {
        return Optional.ofNullable(platform);
    }

    /**
     * Returns the bearer token for the platform.
     *
     * @return The token, or empty if it was not given.
     */
    public Optional<String> platformToken() {
        return Optional.ofNullable(platformToken);
    }

    /**
     * Returns the operator addresses of the nodes.
     *
     * @return The addresses as specified, which are empty if the option was not given.
     */
    public List<String> operators() {
        return operators;
    }

    /**
     * Returns the token that operators present to nodes.
     *
     * @return The token, or empty if it was not given.
     */
    public Optional<String> operatorToken() {
        return Optional.ofNullable(operatorToken);
    }

    /**
     * Returns the settings file of the command.
     *
     * @return The file, or empty if it was not given.
     */
    public Optional<String> settings() {
        return Optional.ofNullable(settings);
    }
}
