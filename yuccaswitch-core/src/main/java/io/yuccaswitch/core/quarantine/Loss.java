package io.yuccaswitch.core.quarantine;

/**
 * Why an attempt that may have run brought no usable answer, as far as that tells something of its endpoint.
 *
 * @param cause The cause.
 * @param lived Whether the endpoint surely lived when it got the request. A connection that was kept from an earlier
 *     request and ended at once does not tell.
 */
public record Loss(Cause cause, boolean lived) {

    /** The endpoint lives, and its answer could not be used. */
    public static final Loss UNUSABLE = new Loss(Cause.UNUSABLE, true);

    /** A cause. */
    public enum Cause {
        /** The connection ended, and nothing listens at the endpoint's address any more. */
        ENDPOINT_ENDED,
        /** The connection ended, and whether the endpoint lives is not known. */
        CONNECTION_LOST,
        /** This node broke the attempt off, because it took too long or because the caller went. */
        BROKEN_OFF,
        /** The endpoint lives: it answered, but not in a usable form, or it takes connections still. */
        UNUSABLE
    }
}
