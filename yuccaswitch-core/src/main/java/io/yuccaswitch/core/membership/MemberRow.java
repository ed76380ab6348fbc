package io.yuccaswitch.core.membership;

import com.google.common.hash.Hashing;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;

/**
 * The recorded state of a member, with the revision that orders rows of the same incarnation. A member increments its
 * revision to refute what other nodes have recorded about it. Its incarnation stays the same while its process runs,
 * since request ids contain it.
 *
 * @param member The member.
 * @param revision The revision, which only the member itself increments.
 */
public record MemberRow(Member member, long revision) {

    /** Orders rows from the weakest to the strongest. Conditions are declared in the order of their strength. */
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
     * Returns whether this row replaces another one of the member with the same name. A higher incarnation takes
     * precedence, then a higher revision, and then the stronger condition.
     *
     * @param other The other row.
     * @return {@code true} if this row is the stronger one.
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
     * Returns this row for another incarnation of the member.
     *
     * @param identity The identity with that incarnation.
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
     * Returns the fields that determine which of two rows is the stronger one.
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
