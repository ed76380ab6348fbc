package io.yuccaswitch.http;

import java.io.IOException;

/** Indicates that a connection can't carry a request. No byte of the request was sent. */
final class UnusableConnectionException extends IOException {

    /** The version of the serialised form. */
    private static final long serialVersionUID = 1;

    /** Whether the connection had carried an earlier request. */
    private final boolean isKept;

    /**
     * Creates the exception.
     *
     * @param condition The condition of the connection.
     * @param isKept Whether the connection had carried an earlier request.
     */
    UnusableConnectionException(ConnectionCondition condition, boolean isKept) {
        super("connection not used: " + condition.label());
        this.isKept = isKept;
    }

    /**
     * Returns whether the connection had carried an earlier request.
     *
     * @return {@code false} for a new connection.
     */
    boolean isKept() {
        return isKept;
    }
}
