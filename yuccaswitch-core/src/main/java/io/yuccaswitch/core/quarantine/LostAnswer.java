package io.yuccaswitch.core.quarantine;

/** Why an attempt that may have run brought no usable answer, as far as that tells something of its endpoint. */
public enum LostAnswer {
    /** The connection ended under the request, and the endpoint lived when it got the request. */
    CONNECTION_LOST,
    /**
     * A connection that was kept from an earlier request ended at once. The endpoint had most likely closed it before
     * the request came.
     */
    STALE_CONNECTION,
    /** This node broke the attempt off, because it took too long or because the caller went. */
    BROKEN_OFF,
    /** The endpoint answered, but not this request or not in a usable form. */
    UNUSABLE
}
