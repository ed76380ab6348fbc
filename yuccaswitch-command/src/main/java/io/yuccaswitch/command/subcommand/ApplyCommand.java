package io.yuccaswitch.command.subcommand;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.yuccaswitch.command.CommandEnvironment;
import io.yuccaswitch.command.CommandResult;
import io.yuccaswitch.command.CommonOptions;
import io.yuccaswitch.command.ConnectionOptions;
import io.yuccaswitch.command.ExitCode;
import io.yuccaswitch.command.Subcommand;
import io.yuccaswitch.command.configuration.ApplyRequest;
import io.yuccaswitch.command.configuration.ConfigurationApply;
import io.yuccaswitch.command.configuration.ConfigurationHistory;
import io.yuccaswitch.command.configuration.ObjectStore;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.settings.ConfigurationDocument;
import io.yuccaswitch.settings.FleetConfigurationCodec;
import io.yuccaswitch.settings.SettingsFolder;
import io.yuccaswitch.settings.SettingsResult;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Applies a folder or an earlier generation as the next generation. */
@Parameters(commandDescription = "Make a folder, or an earlier generation, the configuration of the fleet.")
public final class ApplyCommand implements Subcommand {

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** The options for connecting to the platform. */
    @ParametersDelegate
    private ConnectionOptions connection = new ConnectionOptions();

    /** The folder. */
    @Parameter(description = "DIR")
    private String folder;

    /** The earlier generation to apply. */
    @Parameter(
            names = "--revert-to",
            description = "Apply the content of this earlier generation, in place of a folder, as a new generation.")
    private Long revertTo;

    /** The identifier of the change. */
    @Parameter(
            names = "--change-id",
            description = "The identifier of the change. Specify that of an earlier attempt with an unknown outcome to"
                    + " resume it; by default, a unique one is generated.")
    private String changeId;

    /** The generation that the change is based on. */
    @Parameter(
            names = "--expected-generation",
            description = "Reject the change if the accepted generation is a different one, so that no change by"
                    + " someone else is undone unnoticed.")
    private Long expectedGeneration;

    /** The author of the change. */
    @Parameter(names = "--author", description = "The author of the change; the name of the user by default.")
    private String author;

    /** Creates a subcommand. */
    public ApplyCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "apply";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment environment) {
        if ((folder == null) == (revertTo == null)) {
            return CommandResult.failure(
                    ExitCode.INVALID, "Specify either a folder or --revert-to.", "Run \"yuccaswitch apply --help\".");
        }
        if (folder == null) {
            return PlatformCalls.withStore(connection, environment, store -> revert(store, environment));
        }
        SettingsFolder read = SettingsFolder.read(Path.of(folder));
        SettingsResult<FleetConfiguration> result = FleetConfigurationCodec.decode(read);
        if (result.value().isEmpty()) {
            return FolderChecks.invalid(read, result.errors());
        }
        Bytes content = FleetConfigurationCodec.encode(read);
        return PlatformCalls.withStore(connection, environment, store -> apply(store, content, environment));
    }

    /**
     * Applies the content of an earlier generation.
     *
     * @param store The object store of the platform.
     * @param environment The environment of the command.
     * @return The result.
     */
    private CommandResult revert(ObjectStore store, CommandEnvironment environment) {
        ConfigurationHistory.Entry entry = new ConfigurationHistory(store).read(revertTo);
        if (entry.failure().isPresent()) {
            return PlatformCalls.unreachable(entry.failure().get());
        }
        Optional<ConfigurationDocument> earlier = entry.document();
        if (earlier.isEmpty()) {
            return CommandResult.failure(
                    ExitCode.INVALID,
                    "Generation " + revertTo + " is not in the history. Nothing was changed.",
                    "Run \"yuccaswitch history\" to see the generations.");
        }
        Bytes content = earlier.get().content();
        SettingsResult<FleetConfiguration> result = FleetConfigurationCodec.decode(content);
        return result.value()
                .map(_fleet -> apply(store, content, environment))
                .orElseGet(() -> FolderChecks.invalid("Generation " + revertTo, List.of(), result.errors()));
    }

    /**
     * Applies valid content.
     *
     * @param store The object store of the platform.
     * @param content The content.
     * @param environment The environment of the command.
     * @return The result.
     */
    private CommandResult apply(ObjectStore store, Bytes content, CommandEnvironment environment) {
        ApplyRequest request = new ApplyRequest(
                content,
                Optional.ofNullable(changeId).orElseGet(environment.changeIds()),
                changeId != null,
                Optional.ofNullable(author).orElseGet(environment::user),
                environment.clock().instant(),
                expectedGeneration == null ? OptionalLong.empty() : OptionalLong.of(expectedGeneration));
        String source = folder == null ? "--revert-to " + revertTo : folder;
        return ApplyResults.of(new ConfigurationApply(store, environment.pauses()).apply(request), source);
    }
}
