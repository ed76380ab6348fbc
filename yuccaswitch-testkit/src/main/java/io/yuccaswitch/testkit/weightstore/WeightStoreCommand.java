package io.yuccaswitch.testkit.weightstore;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.yuccaswitch.testkit.TestkitCommand;

/** The subcommand that runs the weight-store stand-in. */
@Parameters(commandDescription = "Runs the weight-store stand-in.")
public final class WeightStoreCommand implements TestkitCommand {

    /** The exit code after an injected crash, as of a process that was killed by SIGKILL. */
    private static final int EXIT_KILLED = 137;

    /** The options of the stand-in. */
    @ParametersDelegate
    private final WeightStoreOptions options = new WeightStoreOptions();

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "weight-store";
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        WeightStoreStandIn standIn = new WeightStoreStandIn(options);
        standIn.server().onCrash(() -> Runtime.getRuntime().halt(EXIT_KILLED));
        TestkitCommand.announceListening(standIn.server().port());
    }
}
