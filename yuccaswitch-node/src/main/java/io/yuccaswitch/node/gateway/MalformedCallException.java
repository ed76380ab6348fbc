package io.yuccaswitch.node.gateway;

/** Indicates that a call is malformed. */
public final class MalformedCallException extends RuntimeException {

    /** The version of the serialised form. */
    private static final long serialVersionUID = 1;

    /** The code, for callers and logs. */
    private final String code;

    /**
     * Creates the exception.
     *
     * @param code The code.
     * @param message The fault and its position.
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
