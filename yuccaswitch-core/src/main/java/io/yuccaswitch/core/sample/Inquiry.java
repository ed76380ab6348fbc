package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.HashSet;
import java.util.Set;

/**
 * Finds out what a trainer has taken, by asking the platform and all members that take work.
 *
 * @param trainer The trainer.
 * @param startedAt The time at which the inquiry began.
 * @param readAt The time at which the platform is asked.
 * @param token The token of the call to the platform.
 * @param platform What the platform answered.
 * @param answered The nodes that answered.
 * @param sure {@code true} if any node was sure of what the trainer has taken.
 */
record Inquiry(
        TrainerName trainer,
        MonotonicTime startedAt,
        MonotonicTime readAt,
        long token,
        Platform platform,
        Set<NodeIdentity> answered,
        boolean sure) {

    /** What the platform answered. */
    enum Platform {
        /** The platform is to be asked later. */
        DUE,
        /** The platform has not answered yet. */
        ASKED,
        /** The platform answered with what it has. */
        ANSWERED,
        /** The platform gave no answer. */
        UNAVAILABLE
    }

    /** What an inquiry found. */
    enum Certainty {
        /** Answers are missing. */
        PENDING,
        /** All that the trainer has taken is known. */
        CERTAIN,
        /** It can't be known. */
        UNKNOWN
    }

    /** Copies the set. */
    Inquiry {
        answered = Set.copyOf(answered);
    }

    /**
     * Returns this inquiry after the platform answered.
     *
     * @param answer What the platform answered.
     * @return The changed inquiry.
     */
    Inquiry withPlatform(Platform answer) {
        return new Inquiry(trainer, startedAt, readAt, token, answer, answered, sure);
    }

    /**
     * Returns this inquiry after a node answered.
     *
     * @param node The node.
     * @param nodeSure {@code true} if the node was sure of what the trainer has taken.
     * @return The changed inquiry.
     */
    Inquiry withAnswer(NodeIdentity node, boolean nodeSure) {
        Set<NodeIdentity> nodes = new HashSet<>(answered);
        nodes.add(node);
        return new Inquiry(trainer, startedAt, readAt, token, platform, nodes, sure || nodeSure);
    }
}
