package io.yuccaswitch.protocol;

/** How a peer broke the protocol, such that its connection is cut off. */
enum FrameViolation {
    /** A frame is too short, or its message can't be decoded. */
    MALFORMED,
    /** A frame claims to be longer than allowed. */
    OVERSIZED,
    /** A frame bears a version of the protocol that this release does not speak. */
    UNKNOWN_VERSION,
    /** The greeting is missing, late, or of another site or token. */
    UNWELCOME
}
