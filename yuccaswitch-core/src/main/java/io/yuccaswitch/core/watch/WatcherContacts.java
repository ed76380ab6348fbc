package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a node knows of the nodes that watch for it, shared by the kinds that it follows. One kind asks at short
 * intervals and so notices a watching node that is gone. The others have their requests held for longer, and rely on
 * that one.
 */
final class WatcherContacts {

    /** The latest answer of each watching node. */
    private final Map<NodeName, Answered> answers = new HashMap<>();

    /** Until when nodes are left alone. */
    private final Map<NodeName, MonotonicTime> pausedUntil = new HashMap<>();

    /**
     * Notes that a node answered.
     *
     * @param node The node.
     * @param now The present.
     */
    void answered(NodeIdentity node, MonotonicTime now) {
        answers.put(node.name(), new Answered(node, now));
    }

    /**
     * Returns which life of a node answered lately.
     *
     * @param node The node.
     * @param now The present.
     * @return The life, or empty if none answered within the time in which a lost node is noticed.
     */
    Optional<NodeIdentity> inTouch(NodeName node, MonotonicTime now) {
        return Optional.ofNullable(answers.get(node))
                .filter(answer -> now.since(answer.at()).compareTo(WatchFollower.TIMEOUT) <= 0)
                .map(Answered::node);
    }

    /**
     * Leaves a node alone for a while.
     *
     * @param node The node.
     * @param until Until when.
     */
    void pause(NodeName node, MonotonicTime until) {
        pausedUntil.put(node, until);
    }

    /**
     * Returns whether a node is left alone.
     *
     * @param node The node.
     * @param now The present.
     * @return {@code true} if it is.
     */
    boolean isPaused(NodeName node, MonotonicTime now) {
        MonotonicTime until = pausedUntil.get(node);
        return until != null && now.isBefore(until);
    }

    /**
     * The answer of a node.
     *
     * @param node The life of the node that answered.
     * @param at When it arrived.
     */
    private record Answered(NodeIdentity node, MonotonicTime at) {}
}
