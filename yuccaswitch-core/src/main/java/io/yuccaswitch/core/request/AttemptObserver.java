package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.limit.ConcurrencyLimit;
import io.yuccaswitch.core.retry.EndpointHealth;
import io.yuccaswitch.core.routing.EndpointLoad;
import java.time.Duration;
import java.util.Set;

/**
 * Updates the concurrency limit, the health and the iteration time model of endpoints, and the service times of a pool,
 * from ended attempts.
 */
final class AttemptObserver {

    /** The HTTP statuses by which an endpoint reports that it could not serve a request. */
    private static final Set<Integer> FAILURE_STATUSES = Set.of(502, 503, 504);

    /** The HTTP statuses by which an endpoint reports that it is overloaded. */
    private static final Set<Integer> OVERLOAD_STATUSES = Set.of(429, 503);

    /** The number of nanoseconds per second. */
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** The tables. */
    private final RequestTables tables;

    /**
     * Creates a new observer.
     *
     * @param tables The tables.
     */
    AttemptObserver(RequestTables tables) {
        this.tables = tables;
    }

    /**
     * Updates the state of an endpoint and its pool from an ended attempt.
     *
     * @param tick The tick.
     * @param attempt The attempt.
     * @param result The result.
     */
    void observe(Tick tick, Attempt attempt, AttemptResult result) {
        PoolState pool = tables.pools.get(attempt.endpoint().pool());
        if (pool == null) {
            return;
        }
        EndpointLoad load = tables.load(attempt.endpoint(), pool).afterEnd();
        tables.loads.put(attempt.endpoint(), afterResult(tick, pool, load, attempt, result));
    }

    /**
     * Computes the load state of an endpoint after a result.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param load The load state before the result.
     * @param attempt The attempt.
     * @param result The result.
     * @return The load state after the result.
     */
    private static EndpointLoad afterResult(
            Tick tick, PoolState pool, EndpointLoad load, Attempt attempt, AttemptResult result) {
        if (result instanceof AttemptResult.Complete complete) {
            return afterAnswer(tick, pool, load, attempt, complete);
        }
        if (result instanceof AttemptResult.NotRun notRun && notRun.leaving()) {
            return load;
        }
        if (attempt.abandoned()) {
            boolean late = !tick.now().isBefore(attempt.deadline());
            return late ? load.withLimit(load.limit().after(overload(attempt))) : load;
        }
        return load.withHealth(load.health().afterFailure(pool.settings.retry(), tick.now()))
                .withLimit(load.limit().after(overload(attempt)));
    }

    /**
     * Creates the sample of an attempt that failed or timed out, which is treated as an overload of the endpoint.
     *
     * @param attempt The attempt.
     * @return The sample.
     */
    private static ConcurrencyLimit.Sample overload(Attempt attempt) {
        return new ConcurrencyLimit.Sample(0, attempt.inFlightAtStart(), true);
    }

    /**
     * Computes the load state of an endpoint after a complete answer, and updates the service times of its pool.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param load The load state before the result.
     * @param attempt The attempt.
     * @param complete The answer.
     * @return The load state after the result.
     */
    private static EndpointLoad afterAnswer(
            Tick tick, PoolState pool, EndpointLoad load, Attempt attempt, AttemptResult.Complete complete) {
        boolean overloaded = OVERLOAD_STATUSES.contains(complete.status());
        if (overloaded || FAILURE_STATUSES.contains(complete.status())) {
            EndpointLoad failed = load.withLimit(
                    load.limit().after(new ConcurrencyLimit.Sample(0, attempt.inFlightAtStart(), overloaded)));
            return failed.withHealth(failed.health().afterFailure(pool.settings.retry(), tick.now()));
        }
        Duration duration = tick.now().since(attempt.startedAt());
        int tokens = complete.generation()
                .map(generation -> generation.tokens() - attempt.tokensAtStart())
                .orElse(0);
        double seconds = duration.toNanos() / NANOSECONDS_PER_SECOND / Math.max(1, tokens);
        pool.times = pool.times.after(duration, tokens);
        return load.withHealth(EndpointHealth.GOOD)
                .withModel(load.model().after(attempt.loadAtStart(), seconds))
                .withLimit(load.limit().after(new ConcurrencyLimit.Sample(seconds, attempt.inFlightAtStart(), false)));
    }
}
