package io.yuccaswitch.core.request;

/** The stage of a request in progress. */
enum RequestStage {
    /** The id, which was chosen by the caller, is being claimed on the platform. */
    CLAIMING,
    /** The request waits to be sent, for the first time or for a retry. */
    QUEUED,
    /** At least one attempt is in progress. */
    SENT,
    /** The request was forwarded to its home. */
    FORWARDED,
    /** Other nodes and endpoints are queried for the outcome of the request. */
    RESOLVING
}
