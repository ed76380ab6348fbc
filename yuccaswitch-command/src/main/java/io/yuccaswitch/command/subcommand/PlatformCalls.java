package io.yuccaswitch.command.subcommand;

import io.yuccaswitch.command.CommandEnvironment;
import io.yuccaswitch.command.CommandResult;
import io.yuccaswitch.command.ConnectionOptions;
import io.yuccaswitch.command.Connections;
import io.yuccaswitch.command.ExitCode;
import io.yuccaswitch.command.configuration.ObjectStore;
import io.yuccaswitch.command.configuration.ObjectStore.ReadResult;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.settings.ConfigurationDocument;
import io.yuccaswitch.settings.SettingsResult;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Common functions of subcommands that call the platform or nodes. */
final class PlatformCalls {

    /** This class has no instances. */
    private PlatformCalls() {}

    /**
     * Runs an action with the addresses and tokens.
     *
     * @param options The options.
     * @param environment The environment of the command.
     * @param action The action.
     * @return The result of the action, or a failure if the settings of the command are invalid.
     */
    static CommandResult withConnections(
            ConnectionOptions options, CommandEnvironment environment, Function<Connections, CommandResult> action) {
        SettingsResult<Connections> connections = Connections.resolve(options, environment.variables());
        return connections
                .value()
                .map(action)
                .orElseGet(() -> FolderChecks.invalid("The --settings file", List.of(), connections.errors()));
    }

    /**
     * Runs an action with the object store of the platform.
     *
     * @param options The options.
     * @param environment The environment of the command.
     * @param action The action.
     * @return The result of the action, or a failure if the address of the platform is not configured.
     */
    static CommandResult withStore(
            ConnectionOptions options, CommandEnvironment environment, Function<ObjectStore, CommandResult> action) {
        return withConnections(options, environment, connections -> {
            if (connections.platform().isEmpty()) {
                return CommandResult.failure(
                        ExitCode.INVALID,
                        "The platform's address is not configured.",
                        "Specify --platform host:port, set YUCCASWITCH_PLATFORM, or use a file with --settings.");
            }
            try (ObjectStore store =
                    environment.stores().apply(connections.platform().get())) {
                return action.apply(store);
            }
        });
    }

    /**
     * Runs an action with the addresses of the nodes.
     *
     * @param options The options.
     * @param environment The environment of the command.
     * @param action The action.
     * @return The result of the action, or a failure if no address is configured.
     */
    static CommandResult withNodes(
            ConnectionOptions options, CommandEnvironment environment, Function<Connections, CommandResult> action) {
        return withConnections(options, environment, connections -> {
            if (connections.operators().isEmpty()) {
                return CommandResult.failure(
                        ExitCode.INVALID,
                        "The operator addresses of the nodes are not configured.",
                        "Specify --operator name=host:port, set YUCCASWITCH_OPERATORS, or use a file with --settings.");
            }
            return action.apply(connections);
        });
    }

    /**
     * Reads the latest generation and runs an action with it.
     *
     * @param store The object store of the platform.
     * @param action The action, which receives an empty value if no configuration has been accepted.
     * @return The result of the action, or a failure if the latest generation cannot be read.
     */
    static CommandResult withCurrent(
            ObjectStore store, Function<Optional<ConfigurationDocument>, CommandResult> action) {
        ReadResult read = store.read(ConfigurationDocument.KEY);
        if (read instanceof ReadResult.Unavailable unavailable) {
            return unreachable(unavailable.reason());
        }
        if (!(read instanceof ReadResult.Found found)) {
            return action.apply(Optional.empty());
        }
        StoredObject object = found.object();
        Optional<ConfigurationDocument> document = ConfigurationDocument.decode(object.value());
        return document.isPresent() ? action.apply(document) : damaged();
    }

    /**
     * Creates the result for a platform that cannot be reached.
     *
     * @param reason The reason.
     * @return The result.
     */
    static CommandResult unreachable(String reason) {
        return CommandResult.failure(
                ExitCode.UNREACHABLE,
                "The platform cannot be reached: " + reason + ". Nothing was changed.",
                "Check its address and token, and run the command again. The configuration in force stays in force.");
    }

    /**
     * Creates the result for an object that is not a configuration.
     *
     * @return The result.
     */
    static CommandResult damaged() {
        return CommandResult.failure(
                ExitCode.FAILED,
                "The object " + ConfigurationDocument.KEY + " on the platform is not a configuration.",
                "Inspect the object. If lost, delete it and apply a folder: generations continue from the history.");
    }
}
