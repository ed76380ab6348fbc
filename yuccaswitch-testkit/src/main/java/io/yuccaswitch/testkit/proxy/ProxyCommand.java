package io.yuccaswitch.testkit.proxy;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.yuccaswitch.testkit.TestkitCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs the fault-injecting TCP proxy. */
@Parameters(commandDescription = "Runs a TCP proxy that injects faults, controlled over HTTP.")
public final class ProxyCommand implements TestkitCommand {

    /** The format of a link: its name, its port and its target. */
    private static final Pattern LINK_FORMAT = Pattern.compile("([^=]+)=(\\d+):(.+:\\d+)");

    /** The port of the control interface, or zero for any free port. */
    @Parameter(names = "--port", description = "The control port on the loopback address; 0 takes any free one.")
    private int port;

    /** The links to create at startup. */
    @Parameter(names = "--link", description = "A link as NAME=PORT:IP:PORT; may be given several times.")
    private List<String> links = new ArrayList<>();

    /** Creates the subcommand with default parameters. */
    public ProxyCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "proxy";
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        FaultProxy proxy = FaultProxy.start(port);
        for (String text : links) {
            Matcher matcher = LINK_FORMAT.matcher(text);
            if (!matcher.matches()) {
                throw new ParameterException("Link is not of the form NAME=PORT:IP:PORT: " + text);
            }
            Link link = proxy.add(matcher.group(1), Integer.parseInt(matcher.group(2)), matcher.group(3));
            System.out.println("link name=" + matcher.group(1) + " address=127.0.0.1:" + link.port());
        }
        TestkitCommand.announceListening(proxy.port());
    }
}
