package io.yuccaswitch.core.request;

/** Where a request stands on its way. */
enum RequestStage {
    /** The id that the caller made is being claimed on the platform. */
    CLAIMING,
    /** The request waits to be sent, for the first time or again. */
    QUEUED,
    /** At least one attempt is in progress. */
    SENT,
    /** The request was passed on to its home. */
    FORWARDED,
    /** Other nodes and endpoints are asked what became of the request. */
    RESOLVING
}
