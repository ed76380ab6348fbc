package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.NodeIdentity;
import java.time.Duration;
import java.util.Optional;

/** A change of the membership, or a request of the shell to it. */
public sealed interface MembershipEvent extends Event {

    /**
     * A node, or a new incarnation of it, was added to the table.
     *
     * @param member The member.
     */
    record Joined(Member member) implements MembershipEvent {}

    /**
     * A member's condition changed within the same incarnation. If a node restarts, its previous incarnation is
     * reported as dead before the new one is reported as joined.
     *
     * @param member The member in its new condition.
     * @param previous The previous condition.
     */
    record ConditionChanged(Member member, MemberCondition previous) implements MembershipEvent {}

    /**
     * A dead member was removed from the table at the end of its retention period.
     *
     * @param identity The member's last identity.
     */
    record Forgotten(NodeIdentity identity) implements MembershipEvent {}

    /**
     * A node reported its own state.
     *
     * @param sender The node.
     * @param generation The highest generation of the configuration that it holds.
     * @param ready {@code true} if the node has confirmed that no newer generation is available to it.
     * @param timeSincePlatformAnswer The time since the platform last answered it, or empty if it never did.
     */
    record PeerReported(NodeIdentity sender, long generation, boolean ready, Optional<Duration> timeSincePlatformAnswer)
            implements MembershipEvent {}

    /**
     * This node has received the table of members from another one, or has determined that it is alone.
     *
     * @param alone {@code true} if no other node answered.
     */
    record SelfJoined(boolean alone) implements MembershipEvent {}

    /**
     * This node detected that it was paused. Its view may be stale, and others may have declared it dead.
     *
     * @param gap The duration of the pause.
     */
    record PauseDetected(Duration gap) implements MembershipEvent {}

    /**
     * This node has received an answer since it was paused, has stopped waiting for one, or has no other node to
     * contact.
     */
    record RecoveredFromPause() implements MembershipEvent {}

    /**
     * This node has adopted a higher incarnation, since a higher one than its own was recorded for its name.
     *
     * @param previous The previous identity.
     * @param current The new identity.
     */
    record IdentityRaised(NodeIdentity previous, NodeIdentity current) implements MembershipEvent {}

    /** The platform lists this node's VM as leaving. */
    record LeavingNotified() implements MembershipEvent {}

    /** Raised by the shell: this node begins to leave and completes its current work. */
    record LeaveRequested() implements MembershipEvent {}

    /** Raised by the shell: this node has completed its work and exits. */
    record Departing() implements MembershipEvent {}
}
