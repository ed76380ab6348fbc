package io.yuccaswitch.core.route;

import io.yuccaswitch.core.identity.PoolName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A route: the requests to one host below one path.
 *
 * @param name The name, for logs.
 * @param host The host, in lower case.
 * @param pathPrefix The path below which requests belong to the route.
 * @param kind The rule for repeating its requests.
 * @param pools The pools that serve the route, with their shares of it.
 * @param timeout The maximum time for which a caller waits.
 * @param latencyTarget The time within which an answer has its full value.
 * @param maximumAttempts The maximum number of endpoints that one request is sent to.
 * @param priority The priority, where 0 is the highest.
 * @param streaming Whether answers are streams of events.
 * @param resumable Whether an interrupted stream can be resumed at another endpoint.
 * @param batch The terms of batch jobs, if the route accepts them.
 * @param anonymous Whether requests need no API key at a site with accounts.
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        List<PoolShare> pools,
        Duration timeout,
        Duration latencyTarget,
        int maximumAttempts,
        int priority,
        boolean streaming,
        boolean resumable,
        Optional<BatchTerms> batch,
        boolean anonymous) {

    /** Copies the pools. */
    public Route {
        pools = List.copyOf(pools);
    }

    /**
     * Returns whether a request may be sent to another endpoint after it may have run.
     *
     * @return {@code true} for idempotent routes and resumable streams.
     */
    public boolean mayRepeat() {
        return kind == RequestKind.IDEMPOTENT && (!streaming || resumable);
    }

    /**
     * Returns whether all results of a batch job must come from a single version.
     *
     * @return {@code true} if the route accepts batch jobs and requires it.
     */
    public boolean requiresSingleVersion() {
        return batch.filter(BatchTerms::singleVersion).isPresent();
    }

    /**
     * Selects a pool according to the shares.
     *
     * @param drawn A random number, uniformly distributed from 0 (inclusive) to 1 (exclusive).
     * @return The pool, or empty if the route has none.
     */
    public Optional<PoolName> pick(double drawn) {
        double total = pools.stream().mapToDouble(PoolShare::weight).sum();
        double remaining = drawn * total;
        for (PoolShare share : pools) {
            remaining -= share.weight();
            if (remaining < 0) {
                return Optional.of(share.pool());
            }
        }
        return pools.stream().filter(share -> share.weight() > 0).findFirst().map(PoolShare::pool);
    }

    /**
     * A pool's share of a route.
     *
     * @param pool The pool.
     * @param weight The share, relative to the other pools' shares.
     */
    public record PoolShare(PoolName pool, double weight) {}

    /**
     * The terms of the batch jobs of a route.
     *
     * @param resultDeadline The time after the submission at which all results are due.
     * @param queueTimeout The time after the submission at which an item may be abandoned.
     * @param singleVersion Whether all results must come from a single version.
     */
    public record BatchTerms(Duration resultDeadline, Duration queueTimeout, boolean singleVersion) {}
}
