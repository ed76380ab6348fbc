package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Optional;

/**
 * An exchange whose answer is awaited.
 *
 * @param sequence The number of the exchange.
 * @param target The node that is to answer.
 * @param sentAt The time at which the exchange was opened.
 * @param indirect {@code true} if other nodes were asked to probe the target.
 * @param requester The node on whose behalf the target is probed, or empty if it is for this node itself.
 */
record Probe(long sequence, NodeName target, MonotonicTime sentAt, boolean indirect, Optional<Requester> requester) {

    /**
     * Returns this probe after other nodes were asked.
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
