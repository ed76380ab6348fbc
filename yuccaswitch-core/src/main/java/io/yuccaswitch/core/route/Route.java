package io.yuccaswitch.core.route;

import io.yuccaswitch.core.identity.PoolName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A route: requests of one host below one path.
 *
 * @param name The name, for logs.
 * @param host The host, in lower case.
 * @param pathPrefix The path below which requests belong to the route.
 * @param kind What may be repeated.
 * @param pools The pools that serve the route, with their shares of it.
 * @param timeout The longest time for which a caller is kept waiting.
 * @param latencyTarget The time within which an answer is of full use.
 * @param maximumAttempts The largest number of endpoints that one request is sent to.
 * @param priority The rank, where 0 is the highest.
 * @param streaming Whether answers are streams of events.
 * @param resumable Whether a stream that broke can be resumed at another endpoint.
 * @param batch What holds for batch jobs, if the route takes them.
 * @param anonymous Whether requests need no API key where the site has accounts.
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
     * Returns whether a result of a batch job must come from one version alone.
     *
     * @return {@code true} if the route takes batch jobs and demands it.
     */
    public boolean demandsSingleVersion() {
        return batch.filter(BatchTerms::singleVersion).isPresent();
    }

    /**
     * Picks a pool by the shares.
     *
     * @param drawn A number from 0 to below 1, drawn evenly.
     * @return The pool, or empty if the route has none.
     */
    public Optional<PoolName> pick(double drawn) {
        double total = pools.stream().mapToDouble(PoolShare::weight).sum();
        double left = drawn * total;
        for (PoolShare share : pools) {
            left -= share.weight();
            if (left < 0) {
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
     * What holds for the batch jobs of a route.
     *
     * @param resultDeadline The time after the submission at which all results are due.
     * @param queueTimeout The time after the submission at which an item may be given up.
     * @param singleVersion Whether a result must come from one version alone.
     */
    public record BatchTerms(Duration resultDeadline, Duration queueTimeout, boolean singleVersion) {}
}
