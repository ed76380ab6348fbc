package io.yuccaswitch.command.subcommand;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.yuccaswitch.command.CommandEnvironment;
import io.yuccaswitch.command.CommandResult;
import io.yuccaswitch.command.CommonOptions;
import io.yuccaswitch.command.ConnectionOptions;
import io.yuccaswitch.command.Connections;
import io.yuccaswitch.command.Subcommand;
import io.yuccaswitch.command.operator.NodeReply;
import io.yuccaswitch.command.operator.OperatorCall;
import io.yuccaswitch.command.operator.OperatorClient;
import io.yuccaswitch.command.report.StatusValues;
import java.util.ArrayList;
import java.util.List;

/** Shows the status of the nodes. */
@Parameters(commandDescription = "Show the status of the nodes, and the generation in force on each.")
public final class StatusCommand implements Subcommand {

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** The options for connecting to the nodes. */
    @ParametersDelegate
    private ConnectionOptions connection = new ConnectionOptions();

    /** Whether all values are shown. */
    @Parameter(
            names = {"--verbose", "-v"},
            description = "Show every value of the status documents.")
    private boolean verbose;

    /** Creates a subcommand. */
    public StatusCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "status";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment environment) {
        return PlatformCalls.withNodes(connection, environment, this::show);
    }

    /**
     * Shows the status of the nodes.
     *
     * @param connections The addresses and tokens.
     * @return The result.
     */
    private CommandResult show(Connections connections) {
        try (OperatorClient client = new OperatorClient(connections.operatorToken())) {
            List<NodeReply> replies = client.callAll(connections.operators(), OperatorCall.STATUS);
            List<String> lines = new ArrayList<>();
            replies.forEach(reply -> describe(reply, lines));
            long answered = replies.stream().filter(NodeReply::isDone).count();
            lines.add(answered + " of " + replies.size() + " nodes answered.");
            if (answered < replies.size()) {
                lines.add("Check the VMs that did not answer, and their operator addresses.");
            }
            return new CommandResult(NodeResults.ofReads(replies), lines, new StatusDocument(replies));
        }
    }

    /**
     * Describes the status of a node.
     *
     * @param reply The answer of the node.
     * @param lines The lines to add to.
     */
    private void describe(NodeReply reply, List<String> lines) {
        if (!reply.isDone()) {
            lines.add(reply.describeFailure());
            return;
        }
        JsonNode generation = reply.body().path("configuration").path("generation");
        boolean leaving = reply.body().path("shutdown").path("begun").asBoolean();
        lines.add(reply.node() + " at " + reply.address() + ": " + (leaving ? "leaving" : "running")
                + ", generation in force: "
                + (generation.isMissingNode() ? "none" : generation.asText()));
        if (verbose) {
            StatusValues.all(reply.body()).forEach((path, value) -> lines.add("  " + path + " = " + value));
        }
    }

    /**
     * The result.
     *
     * @param nodes The answers of the nodes.
     */
    record StatusDocument(List<NodeReply> nodes) {}
}
