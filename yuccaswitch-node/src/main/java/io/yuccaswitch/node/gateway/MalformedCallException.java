package io.yuccaswitch.node.gateway;

/** Tells that a call is malformed, and where. */
public final class MalformedCallException extends RuntimeException {

    /** The version of the serialised form. */
    private static final long serialVersionUID = 1;

    /** The code, for callers and logs. */
    private final String code;

    /**
     * Creates the exception.
     *
     * @param code The code.
     * @param message What is wrong, and where.
     */
    public MalformedCallException(String code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Returns the code.
     *
     * @return The code.
     */
    public String code() {
        return code;
    }
}
