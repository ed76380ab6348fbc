package io.yuccaswitch.testkit.service;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.yuccaswitch.testkit.TestkitCommand;

/** The subcommand that runs the service stand-in. */
@Parameters(commandDescription = "Runs the service stand-in.")
public final class ServiceCommand implements TestkitCommand {

    /** The exit code after an injected crash, as of a process that was killed by SIGKILL. */
    private static final int EXIT_KILLED = 137;

    /** The options of the stand-in. */
    @ParametersDelegate
    private final ServiceOptions options = new ServiceOptions();

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "service";
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        ServiceStandIn standIn = new ServiceStandIn(options);
        standIn.server().onCrash(() -> Runtime.getRuntime().halt(EXIT_KILLED));
        TestkitCommand.announceListening(standIn.server().port());
    }
}
