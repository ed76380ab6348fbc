package io.yuccaswitch.http;

import java.io.IOException;

/** Indicates that received bytes are no valid answer. The connection on which they arrived must not be used again. */
public final class MalformedAnswerException extends IOException {

    /** The version of the serialised form. */
    private static final long serialVersionUID = 1;

    /** The fault. */
    private final AnswerFault fault;

    /**
     * Creates the exception.
     *
     * @param fault The fault.
     * @param bytes The bytes at which it was found, as received.
     */
    MalformedAnswerException(AnswerFault fault, String bytes) {
        super("malformed answer: " + fault.label() + " '" + EscapedBytes.of(bytes) + "'");
        this.fault = fault;
    }

    /**
     * Returns the fault.
     *
     * @return The fault.
     */
    public AnswerFault fault() {
        return fault;
    }
}
