package io.yuccaswitch.command.operator;

/** What became of a call to a node. */
public enum ReplyKind {
    /** The node did what it was asked to. */
    DONE,
    /** The node refused the call. */
    REFUSED,
    /** The call never reached the node. */
    NOT_REACHED,
    /** The call may have reached the node, but no answer came. */
    NO_ANSWER
}
