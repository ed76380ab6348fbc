package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;

/**
 * Evidence against a request: one incarnation of an endpoint that terminated while it processed the request.
 *
 * @param endpoint The endpoint, including its incarnation.
 * @param at When its termination was detected, in milliseconds since the epoch.
 * @param certain Whether the endpoint is known to have been running when it received the request. Otherwise it may have
 *     terminated before.
 */
public record CrashEvidence(EndpointName endpoint, long at, boolean certain) {

    /**
     * The minimum time between two distinct terminations of an endpoint without incarnation numbers, in milliseconds.
     * No endpoint restarts this fast, and all nodes detect one termination well within this time.
     */
    private static final long SAME_TERMINATION_MILLIS = 2000;

    /**
     * Returns whether other evidence refers to the same termination.
     *
     * @param other The other evidence.
     * @return {@code true} if it refers to the same termination.
     */
    boolean isSameTermination(CrashEvidence other) {
        return endpoint.equals(other.endpoint)
                && (endpoint.incarnation() != EndpointName.UNKNOWN
                        || Math.abs(at - other.at) < SAME_TERMINATION_MILLIS);
    }

    /**
     * Merges two pieces of evidence of the same termination.
     *
     * @param other The other evidence.
     * @return The evidence with the earlier time, which is certain if either one is.
     */
    CrashEvidence merge(CrashEvidence other) {
        return new CrashEvidence(endpoint, Math.min(at, other.at), certain || other.certain);
    }
}
