package io.yuccaswitch.command;

import io.yuccaswitch.command.configuration.PlatformObjectStore;
import io.yuccaswitch.command.configuration.RetryPauses;
import java.time.Duration;
import java.time.InstantSource;
import java.util.UUID;

/** The command that operators use. */
public final class CommandMain {

    /** The first pause between attempts of calls. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

    /** The longest pause between attempts of calls. */
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

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
                new RetryPauses.Doubling(FIRST_PAUSE, LONGEST_PAUSE));
        ExitCode exitCode = new CommandLine(environment, System.out, System.err).run(arguments);
        System.exit(exitCode.number());
    }
}
