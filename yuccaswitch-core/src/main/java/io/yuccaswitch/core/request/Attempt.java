package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;

/**
 * A row of the table of attempts in progress. It stays until the attempt has ended, also when its request was concluded
 * before, so that the requests in progress at an endpoint are counted right.
 *
 * @param number The number of the attempt, unique over all requests in progress.
 * @param id The identifier of the request.
 * @param endpoint The endpoint that the attempt went to.
 * @param startedAt The time at which it was sent.
 * @param inFlightAtStart The number of requests of this node at the endpoint at that time, this one included.
 * @param loadAtStart The estimated number of requests of all nodes at the endpoint at that time, this one included.
 * @param tokensAtStart The number of tokens that the attempt resumes from.
 * @param deadline The deadline of the request.
 * @param abandoned Whether the attempt's result no longer counts.
 */
record Attempt(
        int number,
        RequestId id,
        EndpointName endpoint,
        MonotonicTime startedAt,
        int inFlightAtStart,
        double loadAtStart,
        int tokensAtStart,
        MonotonicTime deadline,
        boolean abandoned) {

    /**
     * Returns this attempt as one whose result no longer counts.
     *
     * @return The changed attempt.
     */
    Attempt withAbandoned() {
        return new Attempt(
                number, id, endpoint, startedAt, inFlightAtStart, loadAtStart, tokensAtStart, deadline, true);
    }
}
