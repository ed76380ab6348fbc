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
import java.util.ArrayList;
import java.util.List;

/** Shows the decisions on a request, group or endpoint with their reasons. */
@Parameters(commandDescription = "Show the decisions on an identifier, such as a request's, with their reasons.")
public final class ExplainCommand implements Subcommand {

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** The options for connecting to the nodes. */
    @ParametersDelegate
    private ConnectionOptions connection = new ConnectionOptions();

    /** The identifier. */
    @Parameter(description = "ID", required = true)
    private String subject;

    /** Creates a subcommand. */
    public ExplainCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "explain";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment environment) {
        return PlatformCalls.withNodes(connection, environment, this::explain);
    }

    /**
     * Queries all nodes.
     *
     * @param connections The addresses and tokens.
     * @return The result.
     */
    private CommandResult explain(Connections connections) {
        try (OperatorClient client = new OperatorClient(connections.operatorToken())) {
            List<NodeReply> replies = client.callAll(connections.operators(), OperatorCall.explain(subject));
            List<String> lines = new ArrayList<>();
            for (NodeReply reply : replies) {
                reply.body().path("decisions").forEach(decision -> lines.add(describe(reply.node(), decision)));
            }
            if (lines.isEmpty()) {
                lines.add("No node that answered has recorded a decision on " + subject + ".");
                lines.add("Nodes retain only recent decisions; check their logs for older ones.");
            }
            lines.addAll(NodeResults.failures(replies));
            return new CommandResult(NodeResults.ofReads(replies), lines, new ExplainDocument(subject, replies));
        }
    }

    /**
     * Describes a decision.
     *
     * @param node The node that made the decision.
     * @param decision The decision as JSON.
     * @return The decision as one line of text.
     */
    private static String describe(String node, JsonNode decision) {
        List<String> candidates = new ArrayList<>();
        decision.path("candidates")
                .forEach(candidate -> candidates.add(candidate.path("name").asText() + "="
                        + candidate.path("score").asText()));
        return node + ": " + decision.path("kind").asText() + " -> "
                + decision.path("choice").asText() + ": "
                + decision.path("reason").asText()
                + (candidates.isEmpty() ? "" : " [" + String.join(", ", candidates) + "]");
    }

    /**
     * The result.
     *
     * @param subject The identifier.
     * @param nodes The answers of the nodes.
     */
    record ExplainDocument(String subject, List<NodeReply> nodes) {}
}
