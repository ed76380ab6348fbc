package io.yuccaswitch.core.membership;

/** What a node believes of another one. */
public enum MemberCondition {
    /** The node answers. */
    ALIVE,
    /** The node does not answer, and may still object. */
    SUSPECTED,
    /** The node finishes what it has and then exits. */
    LEAVING,
    /** The node is gone in this incarnation. */
    DEAD
}
