package io.yuccaswitch.core.proxy;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.route.Route;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * The attempts of one plain request: how long each may take, whether another one may follow, and how the request ends
 * when none may.
 */
public final class RequestPlan {

    /** The share of the time for a useful answer after which an attempt that may be repeated is tried elsewhere. */
    private static final double ATTEMPT_SHARE = 0.5;

    /** The number of sends beyond the allowed attempts that endpoints may refuse without having run the request. */
    private static final int REFUSED_SENDS = 2;

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
     * Begins an attempt.
     *
     * @param endpoint The endpoint.
     */
    public void begin(EndpointName endpoint) {
        tried.add(endpoint);
        sends++;
    }

    /** Notes that the attempt in progress may have run. */
    public void mayHaveRun() {
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
     * Returns whether an attempt has run, for all that is known.
     *
     * @return {@code false} only if it is sure that none has.
     */
    public boolean hasMaybeRun() {
        return runs > 0;
    }

    /**
     * Returns whether another attempt is allowed.
     *
     * @return {@code true} if it is.
     */
    public boolean mayTryAgain() {
        int allowed = Math.max(1, route.maximumAttempts());
        boolean refusedOnly = runs == 0;
        return (refusedOnly || route.mayRepeat()) && runs < allowed && sends < allowed + REFUSED_SENDS;
    }

    /**
     * Returns how long the next attempt may wait for its answer to begin: a part of the useful time while another
     * attempt may follow, else all the time that is left.
     *
     * @param left The time that is left for the request.
     * @return The time.
     */
    public Duration attemptTime(Duration left) {
        boolean another = route.mayRepeat() && runs + 1 < Math.max(1, route.maximumAttempts());
        if (!another) {
            return left;
        }
        Duration part = Duration.ofNanos((long) (route.latencyTarget().toNanos() * ATTEMPT_SHARE));
        return part.compareTo(left) < 0 && !part.isZero() ? part : left;
    }
}
