package io.yuccaswitch.command.operator;

/** The outcome of a call to a node. */
public enum ReplyKind {
    /** The node carried out the call. */
    DONE,
    /** The node rejected the call. */
    REFUSED,
    /** The call did not reach the node. */
    NOT_REACHED,
    /** The call may have reached the node, but no answer was received. */
    NO_ANSWER
}
