package io.yuccaswitch.core.membership;

import com.google.common.hash.Hashing;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;

/**
 * What is believed of a member, with the revision that orders beliefs of the same incarnation. A member raises its
 * revision to object to what others believe of it; its incarnation stays the same for the life of its process, since
 * request ids bear it.
 *
 * @param member The member.
 * @param revision The revision, which only the member itself raises.
 */
public record MemberRow(Member member, long revision) {

    /** Orders beliefs from the weakest to the strongest: conditions are declared in the order of their strength. */
    private static final Comparator<MemberRow> STRENGTH = Comparator.comparingLong(
                    (MemberRow row) -> row.member().identity().incarnation())
            .thenComparingLong(MemberRow::revision)
            .thenComparing(row -> row.member().condition());

    /**
     * Returns the member's name.
     *
     * @return The member's name.
     */
    public NodeName name() {
        return member.identity().name();
    }

    /**
     * Returns whether the member is in a condition.
     *
     * @param condition The condition.
     * @return {@code true} if the member is in the condition.
     */
    public boolean is(MemberCondition condition) {
        return member.condition() == condition;
    }

    /**
     * Returns whether this belief replaces another one of the member with the same name: a higher incarnation beats
     * all, then a higher revision, and then the stronger condition.
     *
     * @param other The other belief.
     * @return {@code true} if this belief is the stronger one.
     */
    public boolean supersedes(MemberRow other) {
        return STRENGTH.compare(this, other) > 0;
    }

    /**
     * Returns this row with the member in another condition.
     *
     * @param condition The new condition.
     * @return The changed row.
     */
    public MemberRow withCondition(MemberCondition condition) {
        return new MemberRow(member.withCondition(condition), revision);
    }

    /**
     * Returns this row with another revision.
     *
     * @param changed The new revision.
     * @return The changed row.
     */
    public MemberRow withRevision(long changed) {
        return new MemberRow(member, changed);
    }

    /**
     * Returns this row for another life of the member.
     *
     * @param identity The identity of that life.
     * @return The changed row.
     */
    MemberRow withIdentity(NodeIdentity identity) {
        return new MemberRow(
                new Member(
                        identity,
                        member.availabilityZone(),
                        member.region(),
                        member.peerAddress(),
                        member.entryAddress(),
                        member.operatorAddress(),
                        member.condition(),
                        member.capacity()),
                0);
    }

    /**
     * Returns what must be known to tell which of two rows is the stronger one.
     *
     * @return The summary.
     */
    public MemberSummary summary() {
        return new MemberSummary(name(), member.identity().incarnation(), revision, member.condition());
    }

    /**
     * Computes a hash of the summary, which is the same on all nodes.
     *
     * @return The hash.
     */
    public long fingerprint() {
        String text = member.identity() + "/" + revision + "/" + member.condition();
        return Hashing.farmHashFingerprint64()
                .hashString(text, StandardCharsets.UTF_8)
                .asLong();
    }
}
