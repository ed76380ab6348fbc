package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.HashSet;
import java.util.Set;

/**
 * The state of a query to the platform and to all members that take work, which determines the groups that a trainer
 * has received.
 *
 * @param trainer The trainer.
 * @param startedAt The time at which the inquiry started.
 * @param readAt The time at which the platform is queried.
 * @param token The token of the call to the platform.
 * @param platform The state of the query to the platform.
 * @param answered The nodes that answered.
 * @param complete {@code true} if any node reported a complete cursor of the trainer.
 */
record Inquiry(
        TrainerName trainer,
        MonotonicTime startedAt,
        MonotonicTime readAt,
        long token,
        Platform platform,
        Set<NodeIdentity> answered,
        boolean complete) {

    /** The state of the query to the platform. */
    enum Platform {
        /** The platform was not queried yet. */
        DUE,
        /** The platform was queried, and its answer is pending. */
        REQUESTED,
        /** The platform answered with its stored cursor, if any. */
        ANSWERED,
        /** The platform did not answer. */
        UNAVAILABLE
    }

    /** The result of an inquiry. */
    enum Certainty {
        /** Answers are pending. */
        PENDING,
        /** All groups that the trainer has received are determined. */
        CERTAIN,
        /** The groups that the trainer has received can't be determined. */
        UNKNOWN
    }

    /** Copies the set. */
    Inquiry {
        answered = Set.copyOf(answered);
    }

    /**
     * Returns this inquiry with another state of the query to the platform.
     *
     * @param answer The changed state of the query to the platform.
     * @return The changed inquiry.
     */
    Inquiry withPlatform(Platform answer) {
        return new Inquiry(trainer, startedAt, readAt, token, answer, answered, complete);
    }

    /**
     * Returns this inquiry after a node answered.
     *
     * @param node The node.
     * @param nodeComplete {@code true} if the node reported a complete cursor of the trainer.
     * @return The changed inquiry.
     */
    Inquiry withAnswer(NodeIdentity node, boolean nodeComplete) {
        Set<NodeIdentity> nodes = new HashSet<>(answered);
        nodes.add(node);
        return new Inquiry(trainer, startedAt, readAt, token, platform, nodes, complete || nodeComplete);
    }
}
