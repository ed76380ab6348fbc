package io.yuccaswitch.testkit.scorer;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.yuccaswitch.testkit.TestkitCommand;

/** The subcommand that runs the scorer stand-in. */
@Parameters(commandDescription = "Runs the scorer stand-in.")
public final class ScorerCommand implements TestkitCommand {

    /** The exit code after an injected crash, as of a process that was killed by SIGKILL. */
    private static final int EXIT_KILLED = 137;

    /** The options of the stand-in. */
    @ParametersDelegate
    private final ScorerOptions options = new ScorerOptions();

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "scorer";
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        ScorerStandIn standIn = new ScorerStandIn(options);
        standIn.server().onCrash(() -> Runtime.getRuntime().halt(EXIT_KILLED));
        TestkitCommand.announceListening(standIn.server().port());
    }
}
