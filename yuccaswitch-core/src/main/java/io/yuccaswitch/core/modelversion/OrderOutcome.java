package io.yuccaswitch.core.modelversion;

/** The outcome of an order to an engine. */
public enum OrderOutcome {
    /** The engine has started to execute the order. */
    STARTED,
    /** The engine is already in the requested state. */
    HOLDS,
    /** Another order is in progress, or the engine has accepted an order that this node has not recorded. */
    CONFLICT,
    /** The engine rejected the order. */
    REJECTED,
    /** The address now belongs to another endpoint. */
    GONE,
    /** No answer arrived, so the engine may still execute the order, possibly later. */
    UNANSWERED
}
