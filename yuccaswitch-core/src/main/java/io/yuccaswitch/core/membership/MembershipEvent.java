package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.NodeIdentity;
import java.time.Duration;
import java.util.Optional;

/** Something that happened to the members, or that the shell wants of the membership. */
public sealed interface MembershipEvent extends Event {

    /**
     * A node, or a new incarnation of it, became known.
     *
     * @param member The member.
     */
    record Joined(Member member) implements MembershipEvent {}

    /**
     * A member's condition changed within the same incarnation. A member whose node started again is reported as dead
     * in its former incarnation before the new one is reported as joined.
     *
     * @param member The member in its new condition.
     * @param previous The condition before.
     */
    record ConditionChanged(Member member, MemberCondition previous) implements MembershipEvent {}

    /**
     * A member that had been dead for long is no longer remembered.
     *
     * @param identity The member's last identity.
     */
    record Forgotten(NodeIdentity identity) implements MembershipEvent {}

    /**
     * A node told about itself.
     *
     * @param sender The node.
     * @param generation The highest generation of the configuration that it holds.
     * @param ready {@code true} if the node has made sure that its generation is the newest one it can learn of.
     * @param platformLastHeardAgo The time since the platform last answered it, or empty if it never did.
     */
    record PeerReported(NodeIdentity sender, long generation, boolean ready, Optional<Duration> platformLastHeardAgo)
            implements MembershipEvent {}

    /**
     * This node has learned the table of members from another one, or found that it is alone.
     *
     * @param alone {@code true} if no other node answered.
     */
    record SelfJoined(boolean alone) implements MembershipEvent {}

    /**
     * This node did not run for a while, such that what it believes may be outdated and others may take it for dead.
     *
     * @param gap The time for which it did not run.
     */
    record DegradedSelf(Duration gap) implements MembershipEvent {}

    /** This node has heard from another one since it was degraded, or there is none to hear from. */
    record RestoredSelf() implements MembershipEvent {}

    /**
     * This node took a higher incarnation, since another life of it with one at least as high was known.
     *
     * @param previous The identity before.
     * @param current The identity from now on.
     */
    record IdentityRaised(NodeIdentity previous, NodeIdentity current) implements MembershipEvent {}

    /** The platform lists this node's VM as leaving. */
    record LeavingAdvised() implements MembershipEvent {}

    /** Raised by the shell: this node begins to leave, and finishes what it has. */
    record LeaveRequested() implements MembershipEvent {}

    /** Raised by the shell: this node has finished and exits. */
    record Departing() implements MembershipEvent {}
}
