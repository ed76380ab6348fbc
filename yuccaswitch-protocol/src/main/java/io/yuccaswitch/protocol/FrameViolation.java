package io.yuccaswitch.protocol;

/** A protocol violation of a peer, on which its connection is closed. */
enum FrameViolation {
    /** A frame is too short, or its message can't be decoded. */
    MALFORMED,
    /** The declared length of a frame exceeds the maximum. */
    OVERSIZED,
    /** A frame has a protocol version that this release does not support. */
    UNKNOWN_VERSION,
    /** The greeting is missing, late, or has another site or token. */
    UNWELCOME
}
