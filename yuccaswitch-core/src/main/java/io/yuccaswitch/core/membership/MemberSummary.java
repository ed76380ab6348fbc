package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.NodeName;

/**
 * What must be known of a member to tell whether the full row is news.
 *
 * @param name The member's name.
 * @param incarnation The member's incarnation.
 * @param revision The revision of the belief.
 * @param condition The member's condition.
 */
public record MemberSummary(NodeName name, long incarnation, long revision, MemberCondition condition) {

    /**
     * Returns whether this summary is weaker than a row of the same member.
     *
     * @param row The row.
     * @return {@code true} if the row is news to whoever sent this summary.
     */
    boolean isOlderThan(MemberRow row) {
        return compareTo(row.summary()) < 0;
    }

    /**
     * Returns whether this summary is stronger than a row of the same member.
     *
     * @param row The row.
     * @return {@code true} if the row behind this summary is news.
     */
    boolean isNewerThan(MemberRow row) {
        return compareTo(row.summary()) > 0;
    }

    /**
     * Compares the strength of two beliefs of the same member.
     *
     * @param other The other summary.
     * @return A negative number, zero or a positive number, as this summary is weaker, equal or stronger.
     */
    private int compareTo(MemberSummary other) {
        int byIncarnation = Long.compare(incarnation, other.incarnation);
        if (byIncarnation != 0) {
            return byIncarnation;
        }
        int byRevision = Long.compare(revision, other.revision);
        return byRevision != 0 ? byRevision : condition.compareTo(other.condition);
    }
}
