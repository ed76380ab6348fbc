package io.yuccaswitch.http;

import java.util.Locale;

/** The condition of an open connection on which no answer is expected. */
public enum ConnectionCondition {
    /** Nothing has arrived. */
    IDLE,
    /** Bytes have arrived that belong to no request. */
    UNREAD_BYTES,
    /** The peer has closed the connection, or it has failed. */
    ENDED;

    /**
     * Returns the name of this condition in logs and metrics.
     *
     * @return The name in lower case, with hyphens.
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
