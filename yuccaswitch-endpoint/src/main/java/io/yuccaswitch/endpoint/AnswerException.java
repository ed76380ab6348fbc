package io.yuccaswitch.endpoint;

import java.io.IOException;

/** Signals that an answer is not valid and that its connection must not be reused. */
final class AnswerException extends IOException {

    /** The version of the serialised form. */
    private static final long serialVersionUID = 1;

    /** The code of the failure. */
    private final String code;

    /**
     * Creates the exception.
     *
     * @param code The code of the failure.
     */
    AnswerException(String code) {
        super(code);
        this.code = code;
    }

    /**
     * Returns the code of the failure.
     *
     * @return The code.
     */
    String code() {
        return code;
    }
}
