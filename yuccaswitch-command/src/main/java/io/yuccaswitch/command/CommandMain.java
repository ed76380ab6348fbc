package io.yuccaswitch.command;

import io.yuccaswitch.command.configuration.PlatformObjectStore;
import io.yuccaswitch.command.configuration.RetryPauses;
import java.time.Duration;
import java.time.InstantSource;
import java.util.UUID;

/** The main class of the command-line tool for operators. */
public final class CommandMain {

    /** The initial delay between attempts of platform calls. */
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);

    /** The maximum delay between attempts of platform calls. */
    private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofSeconds(2);

    /** This class has no instances. */
    private CommandMain() {}

    /**
     * Runs the command.
     *
     * @param arguments The command line.
     */
    public static void main(String[] arguments) {
        CommandEnvironment environment = new CommandEnvironment(
                System.getenv(),
                System.getProperty("user.name"),
                InstantSource.system(),
                () -> UUID.randomUUID().toString(),
                PlatformObjectStore::open,
                new RetryPauses.Doubling(INITIAL_RETRY_DELAY, MAXIMUM_RETRY_DELAY));
        ExitCode exitCode = new CommandLine(environment, System.out, System.err).run(arguments);
        System.exit(exitCode.number());
    }
}
