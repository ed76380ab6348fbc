package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;

/**
 * One start of an endpoint that ended under a request.
 *
 * @param endpoint The start of the endpoint.
 * @param at When it was found to have ended, in milliseconds since the epoch.
 * @param certain Whether the endpoint surely lived when it got the request. Otherwise it may have ended before.
 */
public record Strike(EndpointName endpoint, long at, boolean certain) {

    /**
     * Two ends of an endpoint that does not tell its starts apart are different ones if this time lies between them, in
     * milliseconds. No endpoint starts as fast, and nodes learn of one end well within it.
     */
    private static final long SAME_END_MILLIS = 2000;

    /**
     * Returns whether another strike tells of the same end.
     *
     * @param other The other strike.
     * @return {@code true} if it does.
     */
    boolean isSameEnd(Strike other) {
        return endpoint.equals(other.endpoint)
                && (endpoint.incarnation() != EndpointName.UNTOLD || Math.abs(at - other.at) < SAME_END_MILLIS);
    }

    /**
     * Returns what two strikes of the same end tell together.
     *
     * @param other The other strike.
     * @return The strike at the earlier time, certain if one of them is.
     */
    Strike merge(Strike other) {
        return new Strike(endpoint, Math.min(at, other.at), certain || other.certain);
    }
}
