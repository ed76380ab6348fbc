package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.NodeName;
import java.util.Comparator;
import java.util.List;

/**
 * The members whose rows changed recently. Each change is sent with a number of messages that grows with the logarithm
 * of the number of nodes. The changes that were sent least often go first.
 */
final class ChangeQueue {

    /** The maximum number of changes in one message. */
    private static final int MAXIMUM_CHANGES_PER_MESSAGE = 8;

    /** The number of messages that carry a change, as a multiple of the binary logarithm of the number of nodes. */
    private static final int TRANSMISSIONS_PER_LOGARITHM = 3;

    /** The number of consecutive partners with an equal table after which pending changes are dropped. */
    private static final int EQUAL_PARTNERS_BEFORE_DROP = 4;

    /** The number of consecutive partners whose table equalled that of this node. */
    private int equalPartners;

    /** The pending changes by the names of their members. */
    private final EntityTable<NodeName, PendingChange> changes = new EntityTable<>();

    /**
     * Adds a change, in place of an earlier one of the same member.
     *
     * @param name The member's name.
     */
    void add(NodeName name) {
        changes.put(name, new PendingChange(name, 0));
        equalPartners = 0;
    }

    /**
     * Records whether a partner's table equalled that of this node. Once it did for several consecutive partners, the
     * pending changes are dropped: they have most likely reached all nodes, and remaining differences are resolved by
     * comparing tables.
     *
     * @param equal {@code true} if both tables were equal.
     */
    void recordComparison(boolean equal) {
        equalPartners = equal ? equalPartners + 1 : 0;
        if (equalPartners >= EQUAL_PARTNERS_BEFORE_DROP) {
            changes.removeIf(_change -> true);
        }
    }

    /**
     * Returns the changes to send with the next message.
     *
     * @param nodes The number of nodes.
     * @return The names of the members that changed.
     */
    List<NodeName> take(int nodes) {
        if (changes.size() == 0) {
            return List.of();
        }
        int limit = TRANSMISSIONS_PER_LOGARITHM * (Integer.SIZE - Integer.numberOfLeadingZeros(nodes + 1));
        List<NodeName> taken = changes.rows().stream()
                .sorted(Comparator.comparingInt(PendingChange::transmissions))
                .limit(MAXIMUM_CHANGES_PER_MESSAGE)
                .map(PendingChange::name)
                .toList();
        taken.forEach(name -> changes.update(name, change -> new PendingChange(name, change.transmissions() + 1)));
        changes.removeIf(change -> change.transmissions() >= limit);
        return taken;
    }

    /**
     * A change that is being disseminated.
     *
     * @param name The member's name.
     * @param transmissions The number of messages that carried the change.
     */
    private record PendingChange(NodeName name, int transmissions) {}
}
