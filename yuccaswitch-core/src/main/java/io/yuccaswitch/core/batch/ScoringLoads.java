package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.proxy.EndpointSelection;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the endpoints of scoring requests. It answers the bursts that come when whole groups finish at once: this
 * node holds at most half of an endpoint's places with scoring requests, such that plain requests of the same service
 * find a place at once, and the rest of a burst waits here, from where it goes to whichever endpoint is free first.
 */
final class ScoringLoads {

    /** The share of an endpoint's places that this node takes for scoring. Plain requests keep the other half. */
    private static final double PLACE_SHARE = 0.5;

    /** Chooses endpoints by the times and loads of scoring requests, which take longer than other plain requests. */
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
     * @param now The present.
     * @return The endpoint, or empty while this node holds its share of the places of all of them.
     */
    Optional<RegisteredEndpoint> choose(List<RegisteredEndpoint> working, Set<EndpointName> busy, MonotonicTime now) {
        List<RegisteredEndpoint> free = working.stream()
                .filter(endpoint -> !busy.contains(endpoint.name()))
                .filter(endpoint -> selection.running(endpoint) < share(endpoint))
                .toList();
        return selection.choose(free, Set.of(), now);
    }

    /**
     * Counts an attempt that begins.
     *
     * @param endpoint The endpoint.
     */
    void begin(RegisteredEndpoint endpoint) {
        selection.begin(endpoint);
    }

    /**
     * Counts an attempt that ended without a word on the endpoint.
     *
     * @param endpoint The endpoint.
     */
    void end(RegisteredEndpoint endpoint) {
        selection.end(endpoint);
    }

    /**
     * Takes what an attempt says of its endpoint.
     *
     * @param attempt The attempt, which has ended.
     * @param outcome What became of it.
     * @param now The present.
     */
    void measure(ItemScoring.Attempt attempt, ScoringOutcome outcome, MonotonicTime now) {
        Duration took = now.since(attempt.begunAt());
        if (outcome instanceof ScoringOutcome.Scored || outcome instanceof ScoringOutcome.Failed) {
            selection.succeed(attempt.endpoint(), took, now);
        } else {
            selection.fail(attempt.endpoint(), now);
        }
    }

    /**
     * Takes the load that an endpoint told.
     *
     * @param endpoint The endpoint.
     * @param running The number of requests that it runs or that wait there.
     * @param now The present.
     */
    void tell(RegisteredEndpoint endpoint, int running, MonotonicTime now) {
        selection.tell(endpoint, running, now);
    }

    /**
     * Takes that an attempt has gone on for so long that another one is made beside it.
     *
     * @param attempt The attempt, which is still in progress.
     * @param now The present.
     */
    void late(ItemScoring.Attempt attempt, MonotonicTime now) {
        selection.slow(attempt.endpoint(), now.since(attempt.begunAt()), now);
    }

    /**
     * Forgets endpoints that are gone.
     *
     * @param present The endpoints that there are.
     */
    void retain(List<RegisteredEndpoint> present) {
        selection.retain(present);
    }

    /**
     * Returns the number of places of an endpoint that this node may hold.
     *
     * @param endpoint The endpoint.
     * @return The number, at least one.
     */
    private static int share(RegisteredEndpoint endpoint) {
        return Math.max(1, (int) (endpoint.slots() * PLACE_SHARE));
    }
}
