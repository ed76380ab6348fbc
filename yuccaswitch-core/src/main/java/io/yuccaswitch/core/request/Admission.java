package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.limit.FairQueue;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Queues requests for their pool, or refuses them immediately. */
final class Admission {

    /** The maximum total size of the requests that wait for one pool. */
    static final long MAXIMUM_QUEUED_BYTES = 32L * 1024 * 1024;

    /** The minimum delay after which a refused caller is advised to retry. */
    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(100);

    /** The tables. */
    private final RequestTables tables;

    /** Concludes requests and notifies their waiters. */
    private final Conclusions conclusions;

    /** Sends queued requests, to make room in the queue. */
    private final DispatchSystem dispatch;

    /**
     * Creates a new admission.
     *
     * @param tables The tables.
     * @param conclusions Concludes requests and notifies their waiters.
     * @param dispatch Sends queued requests.
     */
    Admission(RequestTables tables, Conclusions conclusions, DispatchSystem dispatch) {
        this.tables = tables;
        this.conclusions = conclusions;
        this.dispatch = dispatch;
    }

    /**
     * Queues a request for its pool, or refuses it.
     *
     * @param tick The tick.
     * @param row The request's row, for which nothing was sent yet.
     */
    void admit(Tick tick, RequestRow row) {
        RequestRow queued = row.queuedUntil(tick.now(), tick.now());
        tables.requests.put(row.id(), queued);
        Optional<PoolState> existing = tables.pool(row.request().pool());
        if (existing.isEmpty()) {
            refuse(tick, queued, "unknown-pool", "No such pool is configured.", Optional.empty());
            return;
        }
        PoolState pool = existing.get();
        if (!tick.now().isBefore(row.request().deadline())) {
            refuse(
                    tick,
                    queued,
                    "deadline-exceeded",
                    "The deadline passed before the request was sent.",
                    Optional.empty());
            return;
        }
        Optional<Duration> quarantined = quarantineRetryAfter(tick, queued);
        if (quarantined.isPresent()) {
            refuse(tick, queued, "quarantined", "Endpoints terminated while running this request.", quarantined);
            return;
        }
        if (isFull(pool, queued)) {
            dispatch.drain(tick, pool);
        }
        Optional<Duration> lateRetryAfter = lateRetryAfter(tick, pool, queued);
        if (lateRetryAfter.isPresent()) {
            refuse(
                    tick,
                    queued,
                    "deadline-unreachable",
                    "The request can't be answered before its deadline.",
                    lateRetryAfter);
            return;
        }
        if (isFull(pool, queued) && !makeRoom(tick, pool, queued)) {
            refuse(tick, queued, "queue-full", "The queue of the pool is full.", Optional.of(retryAfter(pool, queued)));
            return;
        }
        pool.budget = pool.budget.deposit(pool.settings.retry().budgetRatio());
        enqueue(pool, queued);
    }

    /**
     * Returns the retry delay of a request that is quarantined because endpoints terminated while they ran it.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @return The delay after which the caller may retry, or empty if the request is not quarantined.
     */
    private Optional<Duration> quarantineRetryAfter(Tick tick, RequestRow row) {
        List<EndpointName> acceptingEndpoints = tables
                .endpoints
                .candidates(row.request().pool())
                .stream()
                .map(Endpoint::name)
                .toList();
        return tables.quarantine.refusal(tick, row.id().value(), row.request()::content, acceptingEndpoints);
    }

    /**
     * Adds a request to the queue of its pool without any check, as for a retry.
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
     * Returns the retry delay of a request that would miss its deadline.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param row The request's row.
     * @return The estimated time until the backlog is processed, or empty if the request is expected to meet its
     *     deadline.
     */
    private Optional<Duration> lateRetryAfter(Tick tick, PoolState pool, RequestRow row) {
        int ahead = pool.queue.ahead(row.request().priority());
        if (ahead == 0) {
            return Optional.empty();
        }
        Duration wait = pool.times.estimateQueueingTime(ahead, dispatch.concurrency(tick, pool));
        Duration total = wait.plus(pool.times.estimateServiceTime(row.request()));
        if (!row.request().deadline().isBefore(tick.now().plus(total))) {
            return Optional.empty();
        }
        return Optional.of(atLeastMinimum(wait));
    }

    /**
     * Returns whether the queue of a pool has no capacity for a request.
     *
     * @param pool The pool.
     * @param row The row of the request to queue.
     * @return {@code true} if the queue has no capacity.
     */
    private static boolean isFull(PoolState pool, RequestRow row) {
        return pool.queue.size() >= Math.max(1, pool.settings.limits().queueLength())
                || pool.queue.bytes() + row.request().body().size() > MAXIMUM_QUEUED_BYTES;
    }

    /**
     * Sheds queued requests of lower priority until a request can be queued.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param row The row of the request to queue.
     * @return {@code true} if the queue has capacity.
     */
    private boolean makeRoom(Tick tick, PoolState pool, RequestRow row) {
        PriorityClass priority = row.request().priority();
        while (isFull(pool, row)) {
            Optional<RequestRow> shed =
                    pool.queue.shedBelow(priority).flatMap(entry -> tables.requests.find(entry.key()));
            if (shed.isEmpty()) {
                return false;
            }
            Duration retryDelay = retryAfter(pool, shed.get());
            if (shed.get().history().maybeRan()) {
                conclusions.conclude(
                        tick,
                        shed.get(),
                        new Outcome.FailedAfterSend(
                                "shed", "Displaced from the queue by requests of higher priority."));
            } else {
                refuse(
                        tick,
                        shed.get(),
                        "shed",
                        "Displaced from the queue by requests of higher priority.",
                        Optional.of(retryDelay));
            }
        }
        return true;
    }

    /**
     * Estimates the delay after which a refused caller may retry.
     *
     * @param pool The pool.
     * @param row The request's row.
     * @return The estimated time until the backlog is processed.
     */
    private static Duration retryAfter(PoolState pool, RequestRow row) {
        int ahead = pool.queue.ahead(row.request().priority());
        return atLeastMinimum(
                pool.times.estimateQueueingTime(ahead, pool.settings.limits().initialConcurrency()));
    }

    /**
     * Raises a retry delay to the minimum.
     *
     * @param duration The delay.
     * @return The delay, or {@link #MINIMUM_RETRY_AFTER} if that is longer.
     */
    private static Duration atLeastMinimum(Duration duration) {
        return duration.compareTo(MINIMUM_RETRY_AFTER) < 0 ? MINIMUM_RETRY_AFTER : duration;
    }

    /**
     * Refuses a request that is known not to have run.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param code The code of the refusal.
     * @param message The explanation for the caller.
     * @param retryAfter The delay after which the caller may retry, or empty if a retry is not suggested.
     */
    void refuse(Tick tick, RequestRow row, String code, String message, Optional<Duration> retryAfter) {
        conclusions.conclude(tick, row, new Outcome.NotRun(code, message, retryAfter));
    }
}
