package io.yuccaswitch.core.route;

/** The rule for repeating a request. */
public enum RequestKind {
    /** The request may run more than once. */
    IDEMPOTENT,
    /** The request may run at most once. */
    AT_MOST_ONCE,
    /** The request submits a batch job. */
    BATCH
}
