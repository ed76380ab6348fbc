package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.limit.FairQueue;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Takes requests into the queue of their pool, or refuses them at once. */
final class Admission {

    /** The largest number of bytes of the requests that wait for one pool. */
    static final long MAXIMUM_QUEUED_BYTES = 32L * 1024 * 1024;

    /** The shortest time after which a refused caller is told to come back. */
    private static final Duration LEAST_RETRY_AFTER = Duration.ofMillis(100);

    /** The tables. */
    private final RequestTables tables;

    /** What brings requests to their outcome. */
    private final Conclusions conclusions;

    /** What sends requests, to make room in the queue. */
    private final DispatchSystem dispatch;

    /**
     * Creates a new admission.
     *
     * @param tables The tables.
     * @param conclusions What brings requests to their outcome.
     * @param dispatch What sends requests.
     */
    Admission(RequestTables tables, Conclusions conclusions, DispatchSystem dispatch) {
        this.tables = tables;
        this.conclusions = conclusions;
        this.dispatch = dispatch;
    }

    /**
     * Takes a request into the queue of its pool, or refuses it.
     *
     * @param tick The tick.
     * @param row The request's row, which nothing was sent for yet.
     */
    void admit(Tick tick, RequestRow row) {
        RequestRow queued = row.queuedUntil(tick.now(), tick.now());
        tables.requests.put(row.id(), queued);
        Optional<PoolState> known = tables.pool(row.request().pool());
        if (known.isEmpty()) {
            refuse(tick, queued, "unknown-pool", "No such pool is configured.", Optional.empty());
            return;
        }
        PoolState pool = known.get();
        if (!tick.now().isBefore(row.request().deadline())) {
            refuse(
                    tick,
                    queued,
                    "deadline-exceeded",
                    "The deadline passed before the request was sent.",
                    Optional.empty());
            return;
        }
        Optional<Duration> harmful = harm(tick, queued);
        if (harmful.isPresent()) {
            refuse(tick, queued, "quarantined", "Endpoints ended that ran the request before.", harmful);
            return;
        }
        if (isFull(pool, queued)) {
            dispatch.drain(tick, pool);
        }
        Optional<Duration> excess = excess(tick, pool, queued);
        if (excess.isPresent()) {
            refuse(tick, queued, "deadline-unreachable", "The request would not be answered in time.", excess);
            return;
        }
        if (isFull(pool, queued) && !makeRoom(tick, pool, queued)) {
            refuse(
                    tick,
                    queued,
                    "queue-full",
                    "Too many requests wait for the pool.",
                    Optional.of(retryAfter(pool, queued)));
            return;
        }
        pool.budget = pool.budget.deposit(pool.settings.retry().budgetRatio());
        enqueue(pool, queued);
    }

    /**
     * Returns why a request may not go to endpoints, as some ended under it, if it may not.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @return The time after which it may come back, or empty if it may go on.
     */
    private Optional<Duration> harm(Tick tick, RequestRow row) {
        List<EndpointName> working = tables.endpoints.candidates(row.request().pool()).stream()
                .map(Endpoint::name)
                .toList();
        return tables.quarantine.refusal(tick, row.id().value(), row.request()::content, working);
    }

    /**
     * Puts a request into the queue of its pool without any check, as for one that is tried again.
     *
     * @param pool The pool.
     * @param row The request's row.
     */
    void enqueue(PoolState pool, RequestRow row) {
        Request request = row.request();
        pool.queue.add(new FairQueue.Entry<>(
                row.id(),
                request.caller(),
                tables.weight(request.caller()),
                request.priority(),
                request.body().size()));
    }

    /**
     * Tells by how much a request would miss its deadline.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param row The request's row.
     * @return The time after which the backlog is gone, or empty if the request can be in time as far as is known.
     */
    private Optional<Duration> excess(Tick tick, PoolState pool, RequestRow row) {
        int ahead = pool.queue.ahead(row.request().priority());
        if (ahead == 0) {
            return Optional.empty();
        }
        Duration wait = pool.times.queueing(ahead, dispatch.concurrency(tick, pool));
        Duration whole = wait.plus(pool.times.service(row.request()));
        if (!row.request().deadline().isBefore(tick.now().plus(whole))) {
            return Optional.empty();
        }
        return Optional.of(atLeast(wait));
    }

    /**
     * Returns whether the queue of a pool has no room.
     *
     * @param pool The pool.
     * @param row The row of the request that needs room.
     * @return {@code true} if the queue has no room.
     */
    private static boolean isFull(PoolState pool, RequestRow row) {
        return pool.queue.size() >= Math.max(1, pool.settings.limits().queueLength())
                || pool.queue.bytes() + row.request().body().size() > MAXIMUM_QUEUED_BYTES;
    }

    /**
     * Refuses waiting requests of lower classes until there is room.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param row The row of the request that needs room.
     * @return {@code true} if there is room.
     */
    private boolean makeRoom(Tick tick, PoolState pool, RequestRow row) {
        PriorityClass priority = row.request().priority();
        while (isFull(pool, row)) {
            Optional<RequestRow> shed =
                    pool.queue.shedBelow(priority).flatMap(entry -> tables.requests.find(entry.key()));
            if (shed.isEmpty()) {
                return false;
            }
            Duration later = retryAfter(pool, shed.get());
            if (shed.get().history().maybeRan()) {
                conclusions.conclude(
                        tick, shed.get(), new Outcome.FailedAfterSend("shed", "More urgent requests took its place."));
            } else {
                refuse(tick, shed.get(), "shed", "More urgent requests took its place.", Optional.of(later));
            }
        }
        return true;
    }

    /**
     * Estimates when it is worth to ask again.
     *
     * @param pool The pool.
     * @param row The request's row.
     * @return The time until the backlog is gone.
     */
    private static Duration retryAfter(PoolState pool, RequestRow row) {
        int ahead = pool.queue.ahead(row.request().priority());
        return atLeast(pool.times.queueing(ahead, pool.settings.limits().initialConcurrency()));
    }

    /**
     * Bounds a time after which to ask again.
     *
     * @param duration The time.
     * @return The time, or the shortest one.
     */
    private static Duration atLeast(Duration duration) {
        return duration.compareTo(LEAST_RETRY_AFTER) < 0 ? LEAST_RETRY_AFTER : duration;
    }

    /**
     * Refuses a request that surely did not run.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param code The code of the refusal.
     * @param message The explanation for the caller.
     * @param retryAfter The time after which it is worth to ask again, or empty.
     */
    void refuse(Tick tick, RequestRow row, String code, String message, Optional<Duration> retryAfter) {
        conclusions.conclude(tick, row, new Outcome.NotRun(code, message, retryAfter));
    }
}
