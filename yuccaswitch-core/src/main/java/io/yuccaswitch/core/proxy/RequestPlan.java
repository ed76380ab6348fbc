package io.yuccaswitch.core.proxy;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.route.Route;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * The attempts of one plain request: the timeout of each attempt, whether a retry is allowed, and how the request ends
 * if none is.
 */
public final class RequestPlan {

    /** The share of the latency target after which a repeatable attempt is abandoned in favour of another endpoint. */
    private static final double ATTEMPT_TIME_SHARE = 0.5;

    /**
     * The number of sends in addition to the allowed attempts, for endpoints that reject the request without running
     * it.
     */
    private static final int MAXIMUM_REFUSED_SENDS = 2;

    /** The route. */
    private final Route route;

    /** The endpoints that the request was sent to. */
    private final Set<EndpointName> tried = new HashSet<>();

    /** The number of attempts that may have run. */
    private int runs;

    /** The number of sends. */
    private int sends;

    /**
     * Creates a plan before the first attempt.
     *
     * @param route The route.
     */
    public RequestPlan(Route route) {
        this.route = route;
    }

    /**
     * Records the start of an attempt.
     *
     * @param endpoint The endpoint.
     */
    public void begin(EndpointName endpoint) {
        tried.add(endpoint);
        sends++;
    }

    /** Records that the current attempt may have run. */
    public void recordPossibleRun() {
        runs++;
    }

    /**
     * Returns the endpoints that the request was sent to.
     *
     * @return The endpoints.
     */
    public Set<EndpointName> tried() {
        return tried;
    }

    /**
     * Returns whether any attempt may have run.
     *
     * @return {@code false} if it is certain that none has run.
     */
    public boolean mayHaveRun() {
        return runs > 0;
    }

    /**
     * Returns whether another attempt is allowed.
     *
     * @return {@code true} if another attempt is allowed.
     */
    public boolean mayRetry() {
        int allowed = Math.max(1, route.maximumAttempts());
        boolean refusedOnly = runs == 0;
        return (refusedOnly || route.mayRepeat()) && runs < allowed && sends < allowed + MAXIMUM_REFUSED_SENDS;
    }

    /**
     * Returns how long the next attempt may wait for the start of its answer: a share of the latency target if another
     * attempt may follow, otherwise all of the remaining time.
     *
     * @param remaining The remaining time of the request.
     * @return The maximum waiting time.
     */
    public Duration attemptTimeout(Duration remaining) {
        boolean mayFollow = route.mayRepeat() && runs + 1 < Math.max(1, route.maximumAttempts());
        if (!mayFollow) {
            return remaining;
        }
        Duration share = Duration.ofNanos((long) (route.latencyTarget().toNanos() * ATTEMPT_TIME_SHARE));
        return share.compareTo(remaining) < 0 && !share.isZero() ? share : remaining;
    }
}
