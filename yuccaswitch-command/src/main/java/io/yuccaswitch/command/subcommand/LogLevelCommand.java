package io.yuccaswitch.command.subcommand;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.yuccaswitch.command.CommandEnvironment;
import io.yuccaswitch.command.CommandResult;
import io.yuccaswitch.command.CommonOptions;
import io.yuccaswitch.command.ConnectionOptions;
import io.yuccaswitch.command.Connections;
import io.yuccaswitch.command.ExitCode;
import io.yuccaswitch.command.Subcommand;
import io.yuccaswitch.command.operator.NodeReply;
import io.yuccaswitch.command.operator.OperatorCall;
import io.yuccaswitch.command.operator.OperatorClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Changes the level of a logger on the nodes. */
@Parameters(commandDescription = "Change the level of a logger on all specified nodes until they restart.")
public final class LogLevelCommand implements Subcommand {

    /** The levels of loggers. */
    private static final List<String> LEVELS = List.of("TRACE", "DEBUG", "INFO", "WARN", "ERROR", "OFF");

    /** The required number of parameters: a logger and a level. */
    private static final int PARAMETER_COUNT = 2;

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** The options for connecting to the nodes. */
    @ParametersDelegate
    private ConnectionOptions connection = new ConnectionOptions();

    /** The logger and its level. */
    @Parameter(description = "LOGGER LEVEL", required = true)
    private List<String> parameters = new ArrayList<>();

    /** Creates a subcommand. */
    public LogLevelCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "log-level";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment environment) {
        if (parameters.size() != PARAMETER_COUNT
                || !LEVELS.contains(parameters.get(1).toUpperCase(Locale.ROOT))) {
            return CommandResult.failure(
                    ExitCode.INVALID,
                    "Specify a logger and a level.",
                    "Levels are " + String.join(", ", LEVELS) + ", as in \"log-level io.yuccaswitch DEBUG\".");
        }
        return PlatformCalls.withNodes(connection, environment, this::change);
    }

    /**
     * Changes the level.
     *
     * @param connections The addresses and tokens.
     * @return The result.
     */
    private CommandResult change(Connections connections) {
        OperatorCall call =
                OperatorCall.logLevel(parameters.get(0), parameters.get(1).toUpperCase(Locale.ROOT));
        try (OperatorClient client = new OperatorClient(connections.operatorToken())) {
            List<NodeReply> replies = client.callAll(connections.operators(), call);
            List<String> lines = new ArrayList<>(NodeResults.failures(replies));
            long changed = replies.stream().filter(NodeReply::isDone).count();
            lines.add("Changed on " + changed + " of " + replies.size() + " nodes.");
            if (changed < replies.size()) {
                lines.add("Run the command again for the others; it can be repeated.");
            }
            return new CommandResult(NodeResults.ofChanges(replies), lines, new LogLevelDocument(replies));
        }
    }

    /**
     * The result.
     *
     * @param nodes The answers of the nodes.
     */
    record LogLevelDocument(List<NodeReply> nodes) {}
}
