package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Optional;

/**
 * A pending exchange.
 *
 * @param sequence The number of the exchange.
 * @param target The node that is expected to answer.
 * @param sentAt The time at which the exchange was opened.
 * @param indirect {@code true} if other nodes were requested to probe the target.
 * @param requester The node on whose behalf the target is probed, or empty if this node probes for itself.
 */
record Probe(long sequence, NodeName target, MonotonicTime sentAt, boolean indirect, Optional<Requester> requester) {

    /**
     * Returns this probe, marked as indirect.
     *
     * @return The changed probe.
     */
    Probe withIndirect() {
        return new Probe(sequence, target, sentAt, true, requester);
    }

    /**
     * A node on whose behalf a target is probed.
     *
     * @param name The node.
     * @param sequence The number of the node's own exchange.
     */
    record Requester(NodeName name, long sequence) {}
}
