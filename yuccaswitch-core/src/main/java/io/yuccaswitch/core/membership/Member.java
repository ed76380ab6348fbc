package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeIdentity;

/**
 * A node of the site as recorded in the table of members.
 *
 * @param identity The node and its incarnation.
 * @param availabilityZone The availability zone of the node.
 * @param region The region of the node.
 * @param peerAddress The address for other nodes as {@code host:port}.
 * @param entryAddress The address for callers as {@code host:port}.
 * @param operatorAddress The address for operators as {@code host:port}.
 * @param condition The recorded condition of the member.
 * @param capacity The processor capacity of the node in hundredths of a core, or zero if it is unknown.
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
     * Creates a member of unknown processor capacity.
     *
     * @param identity The node and its incarnation.
     * @param availabilityZone The availability zone of the node.
     * @param region The region of the node.
     * @param peerAddress The address for other nodes as {@code host:port}.
     * @param entryAddress The address for callers as {@code host:port}.
     * @param operatorAddress The address for operators as {@code host:port}.
     * @param condition The recorded condition of the member.
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
     * Returns this member with another processor capacity.
     *
     * @param hundredths The processor capacity in hundredths of a core.
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
    public boolean acceptsWork() {
        return condition == MemberCondition.ALIVE || condition == MemberCondition.SUSPECTED;
    }
}
