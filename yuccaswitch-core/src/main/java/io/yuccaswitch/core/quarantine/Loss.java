package io.yuccaswitch.core.quarantine;

/**
 * Why an attempt that may have run returned no usable answer, and what this indicates about its endpoint.
 *
 * @param cause The cause.
 * @param wasRunning Whether the endpoint is known to have been running when it received the request. A reused
 *     connection that closed at once is inconclusive.
 */
public record Loss(Cause cause, boolean wasRunning) {

    /** The endpoint is running, but its answer was unusable. */
    public static final Loss UNUSABLE = new Loss(Cause.UNUSABLE, true);

    /** The cause of a loss. */
    public enum Cause {
        /** The connection was closed, and nothing listens at the endpoint's address any more. */
        ENDPOINT_ENDED,
        /** The connection was closed, and whether the endpoint is running is unknown. */
        CONNECTION_LOST,
        /** This node aborted the attempt, because it took too long or because the caller disconnected. */
        BROKEN_OFF,
        /** The endpoint is running: its answer was unusable, or it still accepts connections. */
        UNUSABLE
    }
}
