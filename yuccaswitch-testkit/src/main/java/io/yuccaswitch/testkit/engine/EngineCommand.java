package io.yuccaswitch.testkit.engine;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.yuccaswitch.testkit.TestkitCommand;

/** The subcommand that runs the engine stand-in. */
@Parameters(commandDescription = "Runs the engine stand-in.")
public final class EngineCommand implements TestkitCommand {

    /** The exit code after an injected crash, as of a process that was killed by SIGKILL. */
    private static final int EXIT_KILLED = 137;

    /** The options of the stand-in. */
    @ParametersDelegate
    private final EngineOptions options = new EngineOptions();

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "engine";
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        EngineStandIn standIn = new EngineStandIn(options);
        standIn.server().onCrash(() -> Runtime.getRuntime().halt(EXIT_KILLED));
        TestkitCommand.announceListening(standIn.server().port());
    }
}
