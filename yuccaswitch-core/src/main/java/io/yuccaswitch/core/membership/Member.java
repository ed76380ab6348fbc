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
 */
public record Member(
        NodeIdentity identity,
        AvailabilityZone availabilityZone,
        String region,
        String peerAddress,
        String entryAddress,
        String operatorAddress,
        MemberCondition condition) {

    /**
     * Returns this member in another condition.
     *
     * @param changed The new condition.
     * @return The changed member.
     */
    public Member withCondition(MemberCondition changed) {
        return new Member(identity, availabilityZone, region, peerAddress, entryAddress, operatorAddress, changed);
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
