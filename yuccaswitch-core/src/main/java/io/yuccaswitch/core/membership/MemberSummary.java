package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.NodeName;

/**
 * The fields of a row that determine whether the row is newer than another one of the same member.
 *
 * @param name The member's name.
 * @param incarnation The member's incarnation.
 * @param revision The revision of the row.
 * @param condition The member's condition.
 */
public record MemberSummary(NodeName name, long incarnation, long revision, MemberCondition condition) {

    /**
     * Returns whether this summary is weaker than a row of the same member.
     *
     * @param row The row.
     * @return {@code true} if the sender of this summary lacks the row.
     */
    boolean isOlderThan(MemberRow row) {
        return compareTo(row.summary()) < 0;
    }

    /**
     * Returns whether this summary is stronger than a row of the same member.
     *
     * @param row The row.
     * @return {@code true} if the row of this summary is newer.
     */
    boolean isNewerThan(MemberRow row) {
        return compareTo(row.summary()) > 0;
    }

    /**
     * Compares the strength of two rows of the same member.
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
