package io.yuccaswitch.node;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.yuccaswitch.node.logging.LogConfiguration;
import io.yuccaswitch.settings.SettingsFolder;
import io.yuccaswitch.settings.SettingsResult;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import org.jboss.logging.Logger;

/** The entry point of {@code yuccaswitch-node}. */
public final class NodeMain {

    /** The exit code after a graceful shutdown, a successful check or a request for help. */
    private static final int EXIT_OK = 0;

    /** The exit code when the node fails to start. */
    private static final int EXIT_FAILED = 1;

    /** The exit code when the command line or the settings are invalid. */
    private static final int EXIT_INVALID = 2;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(NodeMain.class);

    /** The folder with the local settings. */
    @Parameter(names = "--settings", description = "The folder with the node's local settings", required = true)
    private Path settings = Path.of(".");

    /** Whether to check the settings and exit. */
    @Parameter(names = "--check", description = "Check the settings and exit")
    private boolean check;

    /** Whether to print the usage. */
    @Parameter(names = "--help", help = true, description = "Print this text")
    private boolean help;

    /** Creates an instance that holds the parameters of the command line. */
    private NodeMain() {}

    /**
     * Runs a node until it is stopped.
     *
     * @param arguments The command line.
     */
    public static void main(String[] arguments) {
        NodeMain main = new NodeMain();
        Optional<Integer> exitCode = main.run(arguments, System.out, System.err);
        exitCode.ifPresent(System::exit);
    }

    /**
     * Runs a command line.
     *
     * @param arguments The command line.
     * @param output The stream for regular output.
     * @param errors The stream for errors.
     * @return The exit code, or empty if the node is running.
     */
    private Optional<Integer> run(String[] arguments, PrintStream output, PrintStream errors) {
        JCommander parser = JCommander.newBuilder()
                .programName("yuccaswitch-node")
                .addObject(this)
                .build();
        try {
            parser.parse(arguments);
        } catch (ParameterException exception) {
            errors.println(exception.getMessage());
            return Optional.of(EXIT_INVALID);
        }
        if (help) {
            StringBuilder usage = new StringBuilder();
            parser.getUsageFormatter().usage(usage);
            output.print(usage);
            return Optional.of(EXIT_OK);
        }
        SettingsResult<NodeSettings> decoded = SettingsFolder.read(settings).decode(NodeSettings.class);
        if (decoded.value().isEmpty()) {
            decoded.errors().forEach(errors::println);
            return Optional.of(EXIT_INVALID);
        }
        if (check) {
            output.println("The settings are valid.");
            return Optional.of(EXIT_OK);
        }
        return start(decoded.value().get());
    }

    /**
     * Starts a node. It registers its own shutdown hook rather than those of the web servers, as a graceful shutdown
     * involves far more components than these.
     *
     * @param decoded The node's local settings.
     * @return The exit code, or empty if the node has started.
     */
    @SuppressWarnings("ShutdownHook")
    private static Optional<Integer> start(NodeSettings decoded) {
        LogConfiguration.apply(decoded.log());
        try {
            Node node = new Node(decoded);
            node.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "graceful-shutdown"));
            return Optional.empty();
        } catch (RuntimeException exception) {
            LOGGER.fatal("event=start-failed", exception);
            return Optional.of(EXIT_FAILED);
        }
    }

    /**
     * Stops a node gracefully and halts the process with an exit code of zero. A JVM that is ended by a signal would
     * exit with the signal's code otherwise, which supervisors treat as a failure.
     *
     * @param node The node.
     */
    private static void stop(Node node) {
        node.stopGracefully();
        LogConfiguration.close();
        Runtime.getRuntime().halt(EXIT_OK);
    }
}
