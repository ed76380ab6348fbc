package io.yuccaswitch.command.report;

import io.yuccaswitch.command.operator.NodeReply;
import java.time.Instant;
import java.util.List;

/**
 * A sample of the status of all nodes.
 *
 * @param time The time of the sample.
 * @param replies The answers of the nodes.
 */
public record StatusSample(Instant time, List<NodeReply> replies) {

    /** Copies the answers. */
    public StatusSample {
        replies = List.copyOf(replies);
    }
}
