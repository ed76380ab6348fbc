package io.yuccaswitch.http;

/**
 * How the end of an answer's body is recognised.
 *
 * @param kind The kind of framing.
 * @param length The length in bytes of a body of fixed length, otherwise 0.
 */
record BodyFraming(Kind kind, long length) {

    /** The framing of an answer without a body. */
    static final BodyFraming NONE = new BodyFraming(Kind.FIXED, 0);

    /** The framing by chunks. */
    static final BodyFraming CHUNKED = new BodyFraming(Kind.CHUNKED, 0);

    /** The framing by the end of the connection. */
    static final BodyFraming UNTIL_CLOSE = new BodyFraming(Kind.UNTIL_CLOSE, 0);

    /**
     * Creates a framing.
     *
     * @param kind The kind of framing.
     * @param length The length in bytes of a body of fixed length, otherwise 0.
     */
    BodyFraming {
        if (length < 0 || (length > 0 && kind != Kind.FIXED)) {
            throw new IllegalArgumentException("The length " + length + " does not suit " + kind);
        }
    }

    /**
     * Returns the framing of a body of fixed length.
     *
     * @param length The length in bytes.
     * @return The framing.
     */
    static BodyFraming ofLength(long length) {
        return new BodyFraming(Kind.FIXED, length);
    }

    /** The kinds of framing. */
    enum Kind {
        /** The head states the length. */
        FIXED,
        /** The body consists of chunks that state their lengths. */
        CHUNKED,
        /** The body ends with the connection. */
        UNTIL_CLOSE
    }
}
