package io.yuccaswitch.core.membership;

/** The condition of a member as recorded at a node. */
public enum MemberCondition {
    /** The node answers. */
    ALIVE,
    /** The node does not answer, and can still refute the suspicion. */
    SUSPECTED,
    /** The node completes its current work and then exits. */
    LEAVING,
    /** This incarnation of the node has ended. */
    DEAD
}
