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

/** What subcommands that call the platform or nodes have in common. */
final class PlatformCalls {

    /** This class has no instances. */
    private PlatformCalls() {}

    /**
     * Runs an action with the addresses and tokens.
     *
     * @param options The options.
     * @param environment What the command takes from its surroundings.
     * @param action The action.
     * @return The result of the action, or that the settings of the command are in error.
     */
    static CommandResult withConnections(
            ConnectionOptions options, CommandEnvironment environment, Function<Connections, CommandResult> action) {
        SettingsResult<Connections> connections = Connections.resolve(options, environment.variables());
        return connections
                .value()
                .map(action)
                .orElseGet(() -> FolderChecks.invalid("The file of --settings", List.of(), connections.errors()));
    }

    /**
     * Runs an action with the platform's objects.
     *
     * @param options The options.
     * @param environment What the command takes from its surroundings.
     * @param action The action.
     * @return The result of the action, or that the platform's address is not known.
     */
    static CommandResult withStore(
            ConnectionOptions options, CommandEnvironment environment, Function<ObjectStore, CommandResult> action) {
        return withConnections(options, environment, connections -> {
            if (connections.platform().isEmpty()) {
                return CommandResult.failure(
                        ExitCode.INVALID,
                        "The platform's address is not known.",
                        "Give --platform host:port, set YUCCASWITCH_PLATFORM, or name a file with --settings.");
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
     * @param environment What the command takes from its surroundings.
     * @param action The action.
     * @return The result of the action, or that no address is known.
     */
    static CommandResult withNodes(
            ConnectionOptions options, CommandEnvironment environment, Function<Connections, CommandResult> action) {
        return withConnections(options, environment, connections -> {
            if (connections.operators().isEmpty()) {
                return CommandResult.failure(
                        ExitCode.INVALID,
                        "The nodes' addresses for operators are not known.",
                        "Give --operator name=host:port, set YUCCASWITCH_OPERATORS, or name a file with --settings.");
            }
            return action.apply(connections);
        });
    }

    /**
     * Reads the newest generation, and runs an action with it.
     *
     * @param store The platform's objects.
     * @param action The action, which gets nothing if no configuration was ever accepted.
     * @return The result of the action, or that the newest generation cannot be read.
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
                "Look at the object. If it is lost, delete it and apply a folder: generations go on from the history.");
    }
}
