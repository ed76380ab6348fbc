package io.yuccaswitch.core.weight;

/** The result of an order to an engine at the node that sent it. */
public enum OrderResult {
    /** The engine reported success. */
    ACCEPTED,
    /** The engine rejected the order because of its fencing number. */
    FENCED,
    /** The engine reported a failure. */
    FAILED,
    /** The order was not sent, because the lease had ended. */
    NOT_SENT,
    /** The engine's answer is missing, and it may still execute the order. */
    UNKNOWN
}
