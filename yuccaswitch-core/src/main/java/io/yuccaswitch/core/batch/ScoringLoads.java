package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.proxy.EndpointSelection;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the endpoints of scoring requests. Whole groups may finish at once and cause bursts of requests: this node
 * uses at most half of an endpoint's slots for scoring requests, so that plain requests of the same service find a free
 * slot at once, and the rest of a burst waits at this node until any endpoint has a free slot.
 */
final class ScoringLoads {

    /**
     * The maximum share of an endpoint's slots that this node uses for scoring. The other half remains for plain
     * requests.
     */
    private static final double MAXIMUM_SLOT_SHARE = 0.5;

    /**
     * Chooses endpoints by the latencies and loads of scoring requests, which take longer than other plain requests.
     */
    private final EndpointSelection selection;

    /**
     * Creates loads without requests.
     *
     * @param self This node.
     */
    ScoringLoads(Member self) {
        selection = new EndpointSelection(
                self.availabilityZone(), self.identity().name().value());
    }

    /**
     * Chooses the endpoint of an attempt.
     *
     * @param working The endpoints that may get new work.
     * @param busy The endpoints at which attempts of the same request are in progress.
     * @param now The current time.
     * @return The endpoint, or empty while this node uses its share of the slots of all of them.
     */
    Optional<RegisteredEndpoint> choose(List<RegisteredEndpoint> working, Set<EndpointName> busy, MonotonicTime now) {
        List<RegisteredEndpoint> free = working.stream()
                .filter(endpoint -> !busy.contains(endpoint.name()))
                .filter(endpoint -> selection.running(endpoint) < maximumSlots(endpoint))
                .toList();
        return selection.choose(free, Set.of(), now);
    }

    /**
     * Returns the numbers of attempts in progress.
     *
     * @return The numbers, for endpoints with at least one.
     */
    Map<EndpointName, Integer> running() {
        return selection.running();
    }

    /**
     * Counts an attempt that starts.
     *
     * @param endpoint The endpoint.
     */
    void begin(RegisteredEndpoint endpoint) {
        selection.begin(endpoint);
    }

    /**
     * Counts an attempt that ended.
     *
     * @param endpoint The endpoint.
     */
    void end(RegisteredEndpoint endpoint) {
        selection.end(endpoint);
    }

    /**
     * Records the latency or failure of an ended attempt.
     *
     * @param attempt The attempt, which has ended.
     * @param outcome The outcome of the attempt.
     * @param now The current time.
     */
    void measure(ItemScoring.Attempt attempt, ScoringOutcome outcome, MonotonicTime now) {
        Duration took = now.since(attempt.startedAt());
        if (outcome instanceof ScoringOutcome.Scored || outcome instanceof ScoringOutcome.Failed) {
            selection.recordSuccess(attempt.endpoint(), took, now);
        } else {
            selection.recordFailure(attempt.endpoint(), now);
        }
    }

    /**
     * Records the load that an endpoint reported.
     *
     * @param endpoint The endpoint.
     * @param running The number of requests that run or wait there.
     * @param now The current time.
     */
    void recordLoad(RegisteredEndpoint endpoint, int running, MonotonicTime now) {
        selection.recordLoad(endpoint, running, now);
    }

    /**
     * Records that an attempt is late, so that another one is made concurrently.
     *
     * @param attempt The attempt, which is still in progress.
     * @param now The current time.
     */
    void recordLate(ItemScoring.Attempt attempt, MonotonicTime now) {
        selection.recordTimeout(attempt.endpoint(), now.since(attempt.startedAt()), now);
    }

    /**
     * Removes endpoints that are gone.
     *
     * @param present The endpoints that still exist.
     */
    void retain(List<RegisteredEndpoint> present) {
        selection.retain(present);
    }

    /**
     * Returns the number of slots of an endpoint that this node may use.
     *
     * @param endpoint The endpoint.
     * @return The number, at least one.
     */
    private static int maximumSlots(RegisteredEndpoint endpoint) {
        return Math.max(1, (int) (endpoint.slots() * MAXIMUM_SLOT_SHARE));
    }
}
