package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/** Checks all requests in progress periodically: deadlines, forwarded requests, hedging and pools without endpoints. */
final class DeadlineSystem implements DecisionSystem {

    /** The minimum interval between two checks of all requests. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(5);

    /** The time for which a request waits for an endpoint if its pool has none. */
    private static final Duration NO_ENDPOINT_TIMEOUT = Duration.ofMillis(500);

    /** The delay after which a caller may retry if a pool has no endpoint. */
    private static final Duration NO_ENDPOINT_RETRY_AFTER = Duration.ofSeconds(1);

    /** The tables. */
    private final RequestTables tables;

    /** Concludes requests and notifies their waiters. */
    private final Conclusions conclusions;

    /** Sends hedged attempts. */
    private final DispatchSystem dispatch;

    /** Monitors forwarded requests. */
    private final ForwardingSystem forwarding;

    /** The time of the latest check, or empty before the first one. */
    private Optional<MonotonicTime> checkedAt = Optional.empty();

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions Concludes requests and notifies their waiters.
     * @param dispatch Sends hedged attempts.
     * @param forwarding Monitors forwarded requests.
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
        if (checkedAt.isPresent() && tick.now().since(checkedAt.get()).compareTo(CHECK_INTERVAL) < 0) {
            return;
        }
        checkedAt = Optional.of(tick.now());
        tables.refused.expire(tick.now());
        tables.concluded.expire(tables.clock.window(tick.now()));
        tables.configuration.ifPresent(configuration ->
                tables.retained.expire(tick.now(), configuration.entry().answerRetention()));
        for (RequestRow row : tables.requests.rows()) {
            checkRequest(tick, row);
        }
    }

    /**
     * Checks a request.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void checkRequest(Tick tick, RequestRow row) {
        if (!tick.now().isBefore(row.request().deadline())) {
            handleExpiry(tick, row);
        } else if (row.stage() == RequestStage.FORWARDED) {
            forwarding.check(tick, row);
        } else if (row.stage() == RequestStage.SENT) {
            hedge(tick, row);
        } else if (row.stage() == RequestStage.QUEUED) {
            failWithoutEndpoint(tick, row);
        }
    }

    /**
     * Handles a request whose deadline passed. An attempt of a non-idempotent request continues for
     * {@link DispatchSystem#LATE_ANSWER_GRACE_PERIOD}, so that its answer can be retained.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void handleExpiry(Tick tick, RequestRow row) {
        if (row.stage() != RequestStage.SENT || row.request().idempotent()) {
            conclusions.conclude(tick, row, expiryOutcome(row));
            return;
        }
        if (!tick.now().isBefore(DispatchSystem.attemptDeadline(row.request()))) {
            conclusions.conclude(tick, row, expiryOutcome(row));
            return;
        }
        if (!row.waiters().isEmpty()) {
            conclusions.notifyWaiters(tick, row.id(), row.waiters(), expiryOutcome(row));
            tables.requests.put(row.id(), row.withWaiters(Waiters.NONE));
        }
    }

    /**
     * Creates the outcome of a request whose deadline passed.
     *
     * @param row The request's row.
     * @return The outcome.
     */
    private Outcome expiryOutcome(RequestRow row) {
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
                    "platform-unavailable", "The id could not be claimed in time; nothing was sent for this call.");
        }
        if (row.stage() == RequestStage.SENT || row.history().maybeRan()) {
            return new Outcome.FailedAfterSend("deadline-exceeded", "The answer was not received in time.");
        }
        return new Outcome.NotRun("deadline-exceeded", "The request was not sent in time.", Optional.empty());
    }

    /**
     * Sends a hedged attempt if it is due.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void hedge(Tick tick, RequestRow row) {
        Optional<PoolState> existing = tables.pool(row.request().pool());
        if (existing.isEmpty() || row.history().running().size() != 1) {
            return;
        }
        PoolState pool = existing.get();
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
     * Concludes a request that waits for a pool without any endpoint. A request that waits for a version that no engine
     * has loaded yet continues to wait.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void failWithoutEndpoint(Tick tick, RequestRow row) {
        if (tick.now().since(row.stageSince()).compareTo(NO_ENDPOINT_TIMEOUT) < 0) {
            return;
        }
        boolean empty = tables.endpoints.candidates(row.request().pool()).isEmpty();
        if (!empty) {
            return;
        }
        Outcome outcome = row.history().maybeRan()
                ? new Outcome.FailedAfterSend("no-endpoint", "No endpoint is left to continue the request.")
                : new Outcome.NotRun(
                        "no-endpoint", "No endpoint accepts requests.", Optional.of(NO_ENDPOINT_RETRY_AFTER));
        conclusions.conclude(tick, row, outcome);
    }
}
