package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeIdentity;

/**
 * A row of the table of members.
 *
 * @param identity The node and its incarnation.
 * @param availabilityZone The availability zone that the node lies in.
 * @param region The region that the node lies in.
 * @param peerAddress The address for other nodes as {@code host:port}.
 * @param entryAddress The address for callers as {@code host:port}.
 * @param operatorAddress The address for operators as {@code host:port}.
 * @param condition What this node believes of the member.
 * @param capacity What its processors can do, in hundredths of a core, or zero if it does not tell.
 */
public record Member(
        NodeIdentity identity,
        AvailabilityZone availabilityZone,
        String region,
        String peerAddress,
        String entryAddress,
        String operatorAddress,
        MemberCondition condition,
        int capacity) {

    /**
     * Creates a member that does not tell what its processors can do.
     *
     * @param identity The node and its incarnation.
     * @param availabilityZone The availability zone that the node lies in.
     * @param region The region that the node lies in.
     * @param peerAddress The address for other nodes as {@code host:port}.
     * @param entryAddress The address for callers as {@code host:port}.
     * @param operatorAddress The address for operators as {@code host:port}.
     * @param condition What this node believes of the member.
     */
    public Member(
            NodeIdentity identity,
            AvailabilityZone availabilityZone,
            String region,
            String peerAddress,
            String entryAddress,
            String operatorAddress,
            MemberCondition condition) {
        this(identity, availabilityZone, region, peerAddress, entryAddress, operatorAddress, condition, 0);
    }

    /**
     * Returns this member in another condition.
     *
     * @param changed The new condition.
     * @return The changed member.
     */
    public Member withCondition(MemberCondition changed) {
        return new Member(
                identity, availabilityZone, region, peerAddress, entryAddress, operatorAddress, changed, capacity);
    }

    /**
     * Returns this member with what its processors can do.
     *
     * @param hundredths What they can do, in hundredths of a core.
     * @return The changed member.
     */
    public Member withCapacity(int hundredths) {
        return new Member(
                identity, availabilityZone, region, peerAddress, entryAddress, operatorAddress, condition, hundredths);
    }

    /**
     * Returns whether the member may be given new work.
     *
     * @return {@code true} if the member is alive or merely suspected.
     */
    public boolean takesWork() {
        return condition == MemberCondition.ALIVE || condition == MemberCondition.SUSPECTED;
    }
}
