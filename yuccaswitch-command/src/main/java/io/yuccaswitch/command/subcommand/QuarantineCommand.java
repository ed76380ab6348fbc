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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Shows the requests during which endpoints terminated, or releases one of them. */
@Parameters(commandDescription = "Show the requests during which endpoints ended, or release one of them.")
public final class QuarantineCommand implements Subcommand {

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** The options for connecting to the nodes. */
    @ParametersDelegate
    private ConnectionOptions connection = new ConnectionOptions();

    /** The fingerprint of the request to release, or an empty string to show all. */
    @Parameter(names = "--release", description = "The fingerprint of the request to release.")
    private String release = "";

    /** Creates a subcommand. */
    public QuarantineCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "quarantine";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment environment) {
        return PlatformCalls.withNodes(connection, environment, this::call);
    }

    /**
     * Calls all nodes, since a node that was unreachable may lack records that others have.
     *
     * @param connections The addresses and tokens.
     * @return The result.
     */
    private CommandResult call(Connections connections) {
        Optional<String> released = Optional.of(release).filter(text -> !text.isEmpty());
        OperatorCall call = released.map(OperatorCall::releaseQuarantined).orElse(OperatorCall.QUARANTINE);
        try (OperatorClient client = new OperatorClient(connections.operatorToken())) {
            List<NodeReply> replies = client.callAll(connections.operators(), call);
            return released.isPresent() ? released(replies) : listed(replies);
        }
    }

    /**
     * Describes the requests that the nodes have recorded.
     *
     * @param replies The answers of the nodes.
     * @return The result.
     */
    private static CommandResult listed(List<NodeReply> replies) {
        Set<String> lines = new LinkedHashSet<>();
        for (NodeReply reply : replies) {
            reply.body().path("requests").forEach(entry -> lines.add(describe(entry)));
        }
        if (lines.isEmpty()) {
            lines.add("No node that answered has recorded an endpoint that ended during a request.");
        }
        lines.addAll(NodeResults.failures(replies));
        return new CommandResult(NodeResults.ofReads(replies), List.copyOf(lines), new QuarantineDocument(replies));
    }

    /**
     * Describes the release of a request.
     *
     * @param replies The answers of the nodes.
     * @return The result. Nodes notify each other, so a single success suffices.
     */
    private CommandResult released(List<NodeReply> replies) {
        List<NodeReply> done = replies.stream().filter(NodeReply::isDone).toList();
        List<String> lines = new ArrayList<>();
        if (done.isEmpty()) {
            lines.addAll(NodeResults.failures(replies));
        } else {
            lines.add("Released: " + release + ". All nodes are notified.");
        }
        return new CommandResult(
                NodeResults.ofChanges(done.isEmpty() ? replies : done), lines, new QuarantineDocument(replies));
    }

    /**
     * Describes a request.
     *
     * @param entry The request as JSON.
     * @return The request as one line of text.
     */
    private static String describe(JsonNode entry) {
        String until = entry.path("heldUntil").asText();
        return entry.path("fingerprint").asText() + " " + entry.path("request").asText() + ": "
                + entry.path("endedEndpoints").asInt() + " endpoints ended under it since "
                + entry.path("since").asText() + ", "
                + (until.isEmpty() ? "not held" : "held until " + until);
    }

    /**
     * The result.
     *
     * @param nodes The answers of the nodes.
     */
    record QuarantineDocument(List<NodeReply> nodes) {}
}
