package io.yuccaswitch.testkit.platform;

/** The part of a write that is lost. */
public enum LossKind {
    /** Nothing. */
    NONE,
    /** The connection is closed before the write takes effect. */
    REQUEST,
    /** The write takes effect, and the connection is closed instead of an answer. */
    ANSWER
}
