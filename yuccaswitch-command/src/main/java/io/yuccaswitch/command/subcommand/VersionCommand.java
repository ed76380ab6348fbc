package io.yuccaswitch.command.subcommand;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.yuccaswitch.command.CommandEnvironment;
import io.yuccaswitch.command.CommandResult;
import io.yuccaswitch.command.CommonOptions;
import io.yuccaswitch.command.ExitCode;
import io.yuccaswitch.command.Subcommand;
import java.util.List;
import java.util.Optional;

/** Prints the version of the command. */
@Parameters(commandDescription = "Print the version of this command.")
public final class VersionCommand implements Subcommand {

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** Creates a subcommand. */
    public VersionCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "version";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment _environment) {
        String version = Optional.ofNullable(VersionCommand.class.getPackage().getImplementationVersion())
                .orElse("development");
        String java = Runtime.version().toString();
        return new CommandResult(
                ExitCode.OK,
                List.of("yuccaswitch " + version + " (Java " + java + ")"),
                new VersionDocument(version, java));
    }

    /**
     * The result.
     *
     * @param version The version of the command.
     * @param java The version of Java.
     */
    record VersionDocument(String version, String java) {}
}
