package io.yuccaswitch.testkit;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.List;
import java.util.Optional;
import org.slf4j.LoggerFactory;

/** The entry point of the testkit, which runs the subcommand that its first argument names. */
public final class TestkitMain {

    /** The exit code for invalid arguments. */
    private static final int EXIT_USAGE = 2;

    /** The exit code for a subcommand that failed. */
    private static final int EXIT_FAILURE = 1;

    /** This class has no instances. */
    private TestkitMain() {}

    /**
     * Runs a subcommand.
     *
     * @param arguments The name of the subcommand, followed by its parameters.
     */
    public static void main(String[] arguments) {
        ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
        List<TestkitCommand> commands = TestkitCommands.all();
        JCommander commander = new JCommander();
        commander.setProgramName("yuccaswitch-testkit");
        commands.forEach(command -> commander.addCommand(command.name(), command));
        Optional<TestkitCommand> chosen = parse(commander, commands, arguments);
        if (chosen.isEmpty()) {
            commander.usage();
            System.exit(EXIT_USAGE);
        }
        runOrExit(chosen.orElseThrow());
    }

    /**
     * Finds the subcommand that the arguments name and sets its parameters.
     *
     * @param commander The parser of all subcommands.
     * @param commands The subcommands.
     * @param arguments The arguments of the process.
     * @return The subcommand, or empty if the arguments are invalid.
     */
    private static Optional<TestkitCommand> parse(
            JCommander commander, List<TestkitCommand> commands, String... arguments) {
        try {
            commander.parse(arguments);
        } catch (ParameterException exception) {
            System.err.println(exception.getMessage());
            return Optional.empty();
        }
        return commands.stream()
                .filter(command -> command.name().equals(commander.getParsedCommand()))
                .findFirst();
    }

    /**
     * Runs a subcommand and ends the process if it fails.
     *
     * @param command The subcommand to run.
     */
    private static void runOrExit(TestkitCommand command) {
        try {
            command.run();
        } catch (Exception exception) {
            System.err.println("failed command=" + command.name() + " error=" + exception);
            System.exit(EXIT_FAILURE);
        }
    }
}
