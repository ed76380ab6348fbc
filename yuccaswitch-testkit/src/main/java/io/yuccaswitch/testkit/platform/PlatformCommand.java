package io.yuccaswitch.testkit.platform;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.yuccaswitch.testkit.TestkitCommand;
import java.util.Optional;

/** Runs the platform stand-in. */
@Parameters(commandDescription = "Runs a stand-in for the platform's object API.")
public final class PlatformCommand implements TestkitCommand {

    /** The port on the loopback address, or zero for any free port. */
    @Parameter(names = "--port", description = "The port on the loopback address; 0 takes any free one.")
    private int port;

    /** The token that calls must carry. */
    @Parameter(names = "--token", description = "The bearer token that calls must carry; none by default.")
    private String token = "";

    /** The maximum number of changing calls per second, or zero for no limit. */
    @Parameter(names = "--writes-per-second", description = "The limit of writes per second; 0 for none.")
    private double writesPerSecond;

    /** The maximum number of other calls per second, or zero for no limit. */
    @Parameter(names = "--reads-per-second", description = "The limit of reads per second; 0 for none.")
    private double readsPerSecond;

    /** Creates the subcommand with default parameters. */
    public PlatformCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "platform";
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        PlatformStandIn standIn = PlatformStandIn.start(port, Optional.of(token).filter(text -> !text.isEmpty()));
        standIn.limitRates(writesPerSecond, readsPerSecond);
        TestkitCommand.announceListening(standIn.port());
    }
}
