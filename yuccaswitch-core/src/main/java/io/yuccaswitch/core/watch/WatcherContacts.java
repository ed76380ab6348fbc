package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A node's contacts with the watchers, shared by the kinds that it follows. One kind sends requests at short intervals
 * and so detects a lost watcher. The requests of the other kinds are held for longer, and rely on that detection.
 */
final class WatcherContacts {

    /** The latest answer of each watcher. */
    private final Map<NodeName, Answer> answers = new HashMap<>();

    /** Until when nodes are excluded. */
    private final Map<NodeName, MonotonicTime> excludedUntil = new HashMap<>();

    /**
     * Records that a node answered.
     *
     * @param node The node.
     * @param now The current time.
     */
    void answered(NodeIdentity node, MonotonicTime now) {
        answers.put(node.name(), new Answer(node, now));
    }

    /**
     * Returns the incarnation of a node that answered lately.
     *
     * @param node The node.
     * @param now The current time.
     * @return The incarnation, or empty if none answered within the time after which a node is considered lost.
     */
    Optional<NodeIdentity> recentContact(NodeName node, MonotonicTime now) {
        return Optional.ofNullable(answers.get(node))
                .filter(answer -> now.since(answer.receivedAt()).compareTo(WatchFollower.CONTACT_TIMEOUT) <= 0)
                .map(Answer::node);
    }

    /**
     * Excludes a node for some time.
     *
     * @param node The node.
     * @param until The end of the exclusion.
     */
    void exclude(NodeName node, MonotonicTime until) {
        excludedUntil.put(node, until);
    }

    /**
     * Returns whether a node is excluded.
     *
     * @param node The node.
     * @param now The current time.
     * @return {@code true} if it is.
     */
    boolean isExcluded(NodeName node, MonotonicTime now) {
        MonotonicTime until = excludedUntil.get(node);
        return until != null && now.isBefore(until);
    }

    /**
     * The answer of a node.
     *
     * @param node The incarnation of the node that answered.
     * @param receivedAt When the answer was received.
     */
    private record Answer(NodeIdentity node, MonotonicTime receivedAt) {}
}
