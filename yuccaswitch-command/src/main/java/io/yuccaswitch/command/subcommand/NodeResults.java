package io.yuccaswitch.command.subcommand;

import io.yuccaswitch.command.ExitCode;
import io.yuccaswitch.command.operator.NodeReply;
import io.yuccaswitch.command.operator.ReplyKind;
import java.util.List;

/** Determines the overall result of a command from the answers of nodes. */
final class NodeResults {

    /** This class has no instances. */
    private NodeResults() {}

    /**
     * Returns the exit code of a subcommand that only reads.
     *
     * @param replies The answers.
     * @return The exit code.
     */
    static ExitCode ofReads(List<NodeReply> replies) {
        if (replies.stream().allMatch(NodeReply::isDone)) {
            return ExitCode.OK;
        }
        boolean refused = replies.stream().anyMatch(reply -> reply.kind() == ReplyKind.REFUSED);
        return refused ? ExitCode.FAILED : ExitCode.UNREACHABLE;
    }

    /**
     * Returns the exit code of a subcommand that makes changes.
     *
     * @param replies The answers.
     * @return The exit code.
     */
    static ExitCode ofChanges(List<NodeReply> replies) {
        if (replies.stream().allMatch(NodeReply::isDone)) {
            return ExitCode.OK;
        }
        if (replies.stream().anyMatch(reply -> reply.kind() == ReplyKind.NO_ANSWER)) {
            return ExitCode.UNKNOWN_OUTCOME;
        }
        boolean unreached = replies.stream().allMatch(reply -> reply.kind() == ReplyKind.NOT_REACHED);
        return unreached ? ExitCode.UNREACHABLE : ExitCode.FAILED;
    }

    /**
     * Describes the nodes that did not carry out the call.
     *
     * @param replies The answers.
     * @return A line for each such node.
     */
    static List<String> failures(List<NodeReply> replies) {
        return replies.stream()
                .filter(reply -> !reply.isDone())
                .map(NodeReply::describeFailure)
                .toList();
    }
}
