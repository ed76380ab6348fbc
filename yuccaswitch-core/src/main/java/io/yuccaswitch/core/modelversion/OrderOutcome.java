package io.yuccaswitch.core.modelversion;

/** What an engine answered to an order. */
public enum OrderOutcome {
    /** The engine carries the order out. */
    STARTED,
    /** What the order asks for is so already. */
    HOLDS,
    /** Another order is in progress, or the engine has accepted another order than this node knows of. */
    CONFLICT,
    /** The engine does not take the order. */
    REJECTED,
    /** The address belongs to another endpoint now. */
    GONE,
    /** No answer arrived, such that the order may still be carried out, also later. */
    UNANSWERED
}
