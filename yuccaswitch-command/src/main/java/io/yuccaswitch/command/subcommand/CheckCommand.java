package io.yuccaswitch.command.subcommand;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.yuccaswitch.command.CommandEnvironment;
import io.yuccaswitch.command.CommandResult;
import io.yuccaswitch.command.CommonOptions;
import io.yuccaswitch.command.ExitCode;
import io.yuccaswitch.command.Subcommand;
import io.yuccaswitch.command.subcommand.FolderChecks.CheckDocument;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.settings.FleetConfigurationCodec;
import io.yuccaswitch.settings.SettingsFolder;
import io.yuccaswitch.settings.SettingsResult;
import java.nio.file.Path;
import java.util.List;

/** Checks a folder without calling the platform or nodes. */
@Parameters(commandDescription = "Check a folder with the configuration of the fleet, and report all errors.")
public final class CheckCommand implements Subcommand {

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** The folder. */
    @Parameter(description = "DIR", required = true)
    private String folder;

    /** Creates a subcommand. */
    public CheckCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "check";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment _environment) {
        SettingsFolder read = SettingsFolder.read(Path.of(folder));
        SettingsResult<FleetConfiguration> result = FleetConfigurationCodec.decode(read);
        return result.value()
                .map(fleet -> valid(read, fleet))
                .orElseGet(() -> FolderChecks.invalid(read, result.errors()));
    }

    /**
     * Creates the result for a valid folder.
     *
     * @param folder The folder.
     * @param fleet The configuration.
     * @return The result.
     */
    private static CommandResult valid(SettingsFolder folder, FleetConfiguration fleet) {
        long endpoints = fleet.pools().values().stream()
                .mapToLong(pool -> pool.endpoints().size())
                .sum();
        List<String> lines = List.of(
                "Merged " + String.join(", ", folder.files()) + ".",
                folder.name() + " is valid: site " + fleet.site() + ", availability zones "
                        + fleet.availabilityZones().size() + ", pools "
                        + fleet.pools().size() + ", endpoints " + endpoints + ", trainers "
                        + fleet.trainers().size() + ", callers "
                        + fleet.callers().size() + ".",
                "Run \"yuccaswitch diff " + folder.name() + "\" to see what it would change.");
        return new CommandResult(ExitCode.OK, lines, new CheckDocument(true, folder.files(), List.of()));
    }
}
