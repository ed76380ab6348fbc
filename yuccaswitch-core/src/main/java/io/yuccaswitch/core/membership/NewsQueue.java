package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.NodeName;
import java.util.Comparator;
import java.util.List;

/**
 * The members whose rows changed of late. Each change travels along with a number of messages that grows with the
 * logarithm of the number of nodes, the least told one first.
 */
final class NewsQueue {

    /** The largest number of changes that travel with one message. */
    private static final int PER_MESSAGE = 8;

    /** How many messages carry a change, as a multiple of the logarithm of the number of nodes. */
    private static final int REPETITION = 3;

    /** The number of partners in turn that must have believed the same before changes are no longer told. */
    private static final int ENOUGH_EQUAL_PARTNERS = 4;

    /** The number of partners in turn that believed the same as this node. */
    private int equalPartners;

    /** The changes by the names of their members. */
    private final EntityTable<NodeName, News> changes = new EntityTable<>();

    /**
     * Adds a change, in place of an earlier one of the same member.
     *
     * @param name The member's name.
     */
    void add(NodeName name) {
        changes.put(name, new News(name, 0));
        equalPartners = 0;
    }

    /**
     * Takes note of whether a partner believed the same as this node. Once several partners in turn did, there is no
     * one left to tell, and the differences that remain elsewhere are settled by comparing tables.
     *
     * @param equal {@code true} if both tables were equal.
     */
    void compared(boolean equal) {
        equalPartners = equal ? equalPartners + 1 : 0;
        if (equalPartners >= ENOUGH_EQUAL_PARTNERS) {
            changes.removeIf(_news -> true);
        }
    }

    /**
     * Takes the changes that travel with the next message.
     *
     * @param nodes The number of nodes.
     * @return The names of the members that changed.
     */
    List<NodeName> take(int nodes) {
        if (changes.size() == 0) {
            return List.of();
        }
        int limit = REPETITION * (Integer.SIZE - Integer.numberOfLeadingZeros(nodes + 1));
        List<NodeName> taken = changes.rows().stream()
                .sorted(Comparator.comparingInt(News::told))
                .limit(PER_MESSAGE)
                .map(News::name)
                .toList();
        taken.forEach(name -> changes.update(name, news -> new News(name, news.told() + 1)));
        changes.removeIf(news -> news.told() >= limit);
        return taken;
    }

    /**
     * A change that is being told.
     *
     * @param name The member's name.
     * @param told The number of messages that carried the change.
     */
    private record News(NodeName name, int told) {}
}
