package io.yuccaswitch.core.weight;

/** How an order to an engine ended, as far as the node that gave it knows. */
public enum OrderResult {
    /** The engine said that it carried the order out. */
    ACCEPTED,
    /** The engine refused the order because of its fencing number. */
    FENCED,
    /** The engine said that it could not carry the order out. */
    FAILED,
    /** The order was not sent, because the lease ended before. */
    NOT_SENT,
    /** The engine's answer is missing, and it may yet carry the order out. */
    UNKNOWN
}
