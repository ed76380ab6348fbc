package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;

/**
 * A row of the table of attempts in progress. It remains until the attempt ends, even if its request is concluded
 * earlier, so that the number of requests in progress at an endpoint stays correct.
 *
 * @param number The number of the attempt, unique over all requests in progress.
 * @param id The identifier of the request.
 * @param endpoint The endpoint that the attempt was sent to.
 * @param startedAt The time at which it was sent.
 * @param inFlightAtStart The number of requests of this node at the endpoint at that time, this one included.
 * @param loadAtStart The estimated number of requests of all nodes at the endpoint at that time, this one included.
 * @param tokensAtStart The number of tokens that the attempt resumes from.
 * @param deadline The deadline of the request.
 * @param abandoned Whether the result of the attempt is ignored by its request.
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
     * Returns this attempt marked as abandoned.
     *
     * @return The changed attempt.
     */
    Attempt withAbandoned() {
        return new Attempt(
                number, id, endpoint, startedAt, inFlightAtStart, loadAtStart, tokensAtStart, deadline, true);
    }
}
