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
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.settings.ConfigurationDocument;
import io.yuccaswitch.settings.FleetConfigurationCodec;
import io.yuccaswitch.settings.SettingsDifference;
import io.yuccaswitch.settings.SettingsFolder;
import io.yuccaswitch.settings.SettingsResult;
import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import io.yuccaswitch.settings.SourcePosition;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Shows the changes that applying a folder would make. */
@Parameters(commandDescription = "Compare a folder with the accepted configuration.")
public final class DiffCommand implements Subcommand {

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** The options for connecting to the platform. */
    @ParametersDelegate
    private ConnectionOptions connection = new ConnectionOptions();

    /** The folder. */
    @Parameter(description = "DIR", required = true)
    private String folder;

    /** Creates a subcommand. */
    public DiffCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "diff";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment environment) {
        SettingsFolder read = SettingsFolder.read(Path.of(folder));
        SettingsResult<FleetConfiguration> result = FleetConfigurationCodec.decode(read);
        if (result.value().isEmpty()) {
            return FolderChecks.invalid(read, result.errors());
        }
        return PlatformCalls.withStore(
                connection, environment, store -> PlatformCalls.withCurrent(store, current -> compare(current, read)));
    }

    /**
     * Compares a folder with the accepted configuration.
     *
     * @param current The latest generation, or empty if there is none.
     * @param folder The folder.
     * @return The result.
     */
    private static CommandResult compare(Optional<ConfigurationDocument> current, SettingsFolder folder) {
        ObjectValue accepted = current.map(document ->
                        FleetConfigurationCodec.folderOf(document.content()).content())
                .orElseGet(() -> ObjectValue.empty(new SourcePosition("none", 0)));
        long generation = current.map(ConfigurationDocument::generation).orElse(0L);
        List<SettingsDifference> differences = SettingsDifference.between(accepted, folder.content());
        List<String> lines = new ArrayList<>();
        differences.forEach(difference -> lines.add(difference.toString()));
        if (differences.isEmpty()) {
            lines.add(folder.name() + " is identical to generation " + generation + ". There is nothing to apply.");
        } else {
            lines.add(differences.size() + " values differ from generation " + generation + ".");
            lines.add("Run \"yuccaswitch apply " + folder.name() + " --expected-generation " + generation
                    + "\" to apply just this difference.");
        }
        return new CommandResult(ExitCode.OK, lines, new DiffDocument(generation, !differences.isEmpty(), differences));
    }

    /**
     * The result of a comparison.
     *
     * @param generation The generation that the folder was compared with, or zero if there is none.
     * @param different Whether there are differences.
     * @param differences The values that differ.
     */
    record DiffDocument(long generation, boolean different, List<SettingsDifference> differences) {}
}
