package io.yuccaswitch.core.route;

/** What may be repeated of a request. */
public enum RequestKind {
    /** The request may run more than once. */
    IDEMPOTENT,
    /** The request may run at most once. */
    AT_MOST_ONCE,
    /** The request submits a batch job. */
    BATCH
}
