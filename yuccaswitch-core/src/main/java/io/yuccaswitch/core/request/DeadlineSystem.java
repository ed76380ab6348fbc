package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/** Looks after all requests in progress at a steady interval: deadlines, requests that were passed on, and hedging. */
final class DeadlineSystem implements DecisionSystem {

    /** The interval at which all requests are looked at. */
    private static final Duration INTERVAL = Duration.ofMillis(5);

    /** The time for which a request waits for an endpoint where its pool has none. */
    private static final Duration NO_ENDPOINT_GRACE = Duration.ofMillis(500);

    /** The time after which a caller may ask again where a pool has no endpoint. */
    private static final Duration NO_ENDPOINT_RETRY_AFTER = Duration.ofSeconds(1);

    /** The tables. */
    private final RequestTables tables;

    /** What brings requests to their outcome. */
    private final Conclusions conclusions;

    /** What sends second attempts. */
    private final DispatchSystem dispatch;

    /** What looks after requests that were passed on. */
    private final ForwardingSystem forwarding;

    /** The time of the latest look. */
    private Optional<MonotonicTime> lookedAt = Optional.empty();

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions What brings requests to their outcome.
     * @param dispatch What sends second attempts.
     * @param forwarding What looks after requests that were passed on.
     */
    DeadlineSystem(
            RequestTables tables, Conclusions conclusions, DispatchSystem dispatch, ForwardingSystem forwarding) {
        this.tables = tables;
        this.conclusions = conclusions;
        this.dispatch = dispatch;
        this.forwarding = forwarding;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        if (lookedAt.isPresent() && tick.now().since(lookedAt.get()).compareTo(INTERVAL) < 0) {
            return;
        }
        lookedAt = Optional.of(tick.now());
        tables.refused.expire(tick.now());
        tables.concluded.expire(tables.clock.window(tick.now()));
        tables.configuration.ifPresent(configuration ->
                tables.kept.expire(tick.now(), configuration.entry().answerRetention()));
        for (RequestRow row : tables.requests.rows()) {
            look(tick, row);
        }
    }

    /**
     * Looks after a request.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void look(Tick tick, RequestRow row) {
        if (!tick.now().isBefore(row.request().deadline())) {
            expired(tick, row);
        } else if (row.stage() == RequestStage.FORWARDED) {
            forwarding.check(tick, row);
        } else if (row.stage() == RequestStage.SENT) {
            hedge(tick, row);
        } else if (row.stage() == RequestStage.QUEUED) {
            giveUpWithoutEndpoint(tick, row);
        }
    }

    /**
     * Ends a request whose deadline passed. An attempt of a non-idempotent request goes on for a while, such that its
     * answer can be kept.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void expired(Tick tick, RequestRow row) {
        if (row.stage() != RequestStage.SENT || row.request().idempotent()) {
            conclusions.conclude(tick, row, expiry(row));
            return;
        }
        if (!tick.now().isBefore(DispatchSystem.attemptDeadline(row.request()))) {
            conclusions.conclude(tick, row, expiry(row));
            return;
        }
        if (!row.waiters().isEmpty()) {
            conclusions.tell(tick, row.id(), row.waiters(), expiry(row));
            tables.requests.put(row.id(), row.withWaiters(Waiters.NONE));
        }
    }

    /**
     * Describes a request whose deadline passed.
     *
     * @param row The request's row.
     * @return The outcome.
     */
    private Outcome expiry(RequestRow row) {
        if (row.stage() == RequestStage.RESOLVING) {
            return tables.resolutions
                    .find(row.id())
                    .map(Resolution::fallback)
                    .orElseGet(() -> new Outcome.Unknown("deadline-exceeded", "The outcome was not found in time."));
        }
        if (row.stage() == RequestStage.FORWARDED) {
            return new Outcome.Unknown("home-silent", "The home of the request did not answer in time.");
        }
        if (row.stage() == RequestStage.CLAIMING) {
            return new Outcome.Unknown(
                    "platform-unavailable", "The id could not be claimed in time; nothing was sent now.");
        }
        if (row.stage() == RequestStage.SENT || row.history().maybeRan()) {
            return new Outcome.FailedAfterSend("deadline-exceeded", "The answer did not come in time.");
        }
        return new Outcome.NotRun("deadline-exceeded", "The request was not sent in time.", Optional.empty());
    }

    /**
     * Sends a second attempt where that is due.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void hedge(Tick tick, RequestRow row) {
        Optional<PoolState> known = tables.pool(row.request().pool());
        if (known.isEmpty() || row.history().running().size() != 1) {
            return;
        }
        PoolState pool = known.get();
        Duration running = tick.now().since(row.stageSince());
        if (pool.hedging.due(row.request(), running)
                && row.history().attempts() < pool.settings.retry().maximumAttempts()
                && pool.budget.allows()
                && tables.quarantine.allowsRetry(row.request()::content)
                && dispatch.hedge(tick, pool, row)) {
            pool.budget = pool.budget.withdraw();
        }
    }

    /**
     * Refuses a request that waits in a pool without any endpoint. A request that waits for a version which engines do
     * not hold yet goes on waiting.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void giveUpWithoutEndpoint(Tick tick, RequestRow row) {
        if (tick.now().since(row.stageSince()).compareTo(NO_ENDPOINT_GRACE) < 0) {
            return;
        }
        boolean empty = tables.endpoints.candidates(row.request().pool()).isEmpty();
        if (!empty) {
            return;
        }
        Outcome outcome = row.history().maybeRan()
                ? new Outcome.FailedAfterSend("no-endpoint", "No endpoint is left to go on with the request.")
                : new Outcome.NotRun("no-endpoint", "No endpoint takes work.", Optional.of(NO_ENDPOINT_RETRY_AFTER));
        conclusions.conclude(tick, row, outcome);
    }
}
