package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.retry.Backoff;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** Handles the progress, answers and failures of attempts, and retries failed requests where that is safe. */
final class AttemptSystem implements DecisionSystem {

    /** The lowest HTTP status of an unsuccessful answer. */
    private static final int MINIMUM_ERROR_STATUS = 400;

    /** The HTTP statuses by which an endpoint reports that it could not serve a request. */
    private static final Set<Integer> FAILURE_STATUSES = Set.of(502, 503, 504);

    /** The delay after which a caller may retry when no endpoint accepted its request. */
    private static final Duration UNAVAILABLE_RETRY_AFTER = Duration.ofSeconds(1);

    /** The tables. */
    private final RequestTables tables;

    /** Concludes requests and notifies their waiters. */
    private final Conclusions conclusions;

    /** Queues requests or refuses them. */
    private final Admission admission;

    /** Queries endpoints for outcomes. */
    private final ResolutionSystem resolution;

    /** Updates the statistics of endpoints and pools from ended attempts. */
    private final AttemptObserver observer;

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions Concludes requests and notifies their waiters.
     * @param admission Queues requests or refuses them.
     * @param resolution Queries endpoints for outcomes.
     */
    AttemptSystem(RequestTables tables, Conclusions conclusions, Admission admission, ResolutionSystem resolution) {
        this.tables = tables;
        this.conclusions = conclusions;
        this.admission = admission;
        this.resolution = resolution;
        observer = new AttemptObserver(tables);
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (RequestEvent event : tick.events(RequestEvent.class)) {
            if (event instanceof RequestEvent.Progressed progressed) {
                applyProgress(tick, progressed);
            } else if (event instanceof RequestEvent.AttemptEnded ended) {
                handleEnd(tick, ended);
            }
        }
    }

    /**
     * Handles the progress of an attempt.
     *
     * @param tick The tick.
     * @param event The event.
     */
    private void applyProgress(Tick tick, RequestEvent.Progressed event) {
        Optional<RequestRow> row = tables.requests.find(event.id());
        if (row.isPresent() && row.get().history().running().contains(event.attempt())) {
            tables.requests.put(event.id(), applyProgress(tick, row.get(), event.partial()));
        }
    }

    /**
     * Applies a partial generation. A text that does not continue the recorded one is ignored, because text that was
     * streamed to a caller can't be retracted.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param partial The partial generation.
     * @return The changed row.
     */
    private static RequestRow applyProgress(Tick tick, RequestRow row, Generation partial) {
        if (!continues(row, partial)) {
            return row;
        }
        AttemptHistory history = row.history().withPartial(partial);
        boolean grown = history.partialTokens() > row.history().partialTokens();
        if (grown && row.request().streaming() && row.waiters().local()) {
            tick.emit(new RequestEffect.Stream(row.id(), partial));
        }
        return row.withHistory(history);
    }

    /**
     * Returns whether a generation begins with the recorded partial generation of its request.
     *
     * @param row The request's row.
     * @param generation The generation.
     * @return {@code true} if the generation continues the recorded one.
     */
    private static boolean continues(RequestRow row, Generation generation) {
        return row.history()
                .partial()
                .map(existing -> generation.text().startsWith(existing.text()))
                .orElse(true);
    }

    /**
     * Handles the end of an attempt. The result of an abandoned attempt is dropped.
     *
     * @param tick The tick.
     * @param event The event.
     */
    private void handleEnd(Tick tick, RequestEvent.AttemptEnded event) {
        Optional<Attempt> attempt = tables.attempts.remove(event.attempt());
        if (attempt.isEmpty() || !attempt.get().id().equals(event.id())) {
            return;
        }
        observer.observe(tick, attempt.get(), event.result());
        Optional<RequestRow> row = tables.requests.find(event.id());
        if (row.isPresent() && event.result() instanceof AttemptResult.MaybeRun lost) {
            Request request = row.get().request();
            tables.quarantine.recordLoss(tick, request::content, request.describe(), event.endpoint(), lost.loss());
        }
        if (row.isEmpty() || !row.get().history().running().contains(event.attempt())) {
            tick.decide(Decision.of("drop", event.id().value(), event.endpoint().toString(), "late result"));
            return;
        }
        if (event.result() instanceof AttemptResult.Complete complete) {
            handleAnswer(tick, row.get(), event, complete);
        } else if (event.result() instanceof AttemptResult.NotRun notRun) {
            handleNotRun(tick, row.get(), event.attempt(), notRun);
        } else if (event.result() instanceof AttemptResult.MaybeRun maybeRun) {
            handleMaybeRun(tick, row.get(), event, maybeRun);
        }
    }

    /**
     * Handles a complete answer.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param event The event.
     * @param complete The answer.
     */
    private void handleAnswer(
            Tick tick, RequestRow row, RequestEvent.AttemptEnded event, AttemptResult.Complete complete) {
        if (row.request().streaming()
                && complete.generation().isPresent()
                && !continues(row, complete.generation().get())) {
            RequestRow failed = row.withHistory(row.history().afterEnd(event.attempt(), true, "resume-mismatch"));
            conclusions.conclude(
                    tick, failed, new Outcome.FailedAfterSend("resume-mismatch", "The stream could not be resumed."));
            return;
        }
        RequestRow ended = row.withHistory(row.history().afterEnd(event.attempt(), true, ""));
        if (complete.status() < MINIMUM_ERROR_STATUS) {
            boolean first = row.history().attempts() == 1;
            tables.quarantine.recordSuccess(tick, row.request()::content, first);
        }
        boolean failure = FAILURE_STATUSES.contains(complete.status());
        if (failure
                && ended.request().idempotent()
                && !ended.history().running().isEmpty()) {
            tables.requests.put(ended.id(), ended);
            return;
        }
        if (failure && ended.request().idempotent() && mayRetry(ended, false)) {
            retry(tick, ended, true);
            return;
        }
        conclusions.conclude(
                tick,
                ended,
                new Outcome.Answered(
                        event.endpoint(),
                        complete.status(),
                        complete.contentType(),
                        complete.body(),
                        complete.generation()));
    }

    /**
     * Handles an attempt that is known not to have run, after which any request may be retried. A retry after the
     * refusal of a leaving endpoint is not charged to the retry budget, because it causes no additional work: another
     * endpoint does the work instead.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param number The number of the attempt.
     * @param result The result.
     */
    private void handleNotRun(Tick tick, RequestRow row, int number, AttemptResult.NotRun result) {
        RequestRow ended = row.withHistory(row.history().afterEnd(number, false, result.code()));
        if (!ended.history().running().isEmpty()) {
            tables.requests.put(ended.id(), ended);
            return;
        }
        if (mayRetry(ended, result.leaving())) {
            retry(tick, ended, !result.leaving());
            return;
        }
        if (ended.history().maybeRan()) {
            conclusions.conclude(tick, ended, failedAfterSend(result.code()));
            return;
        }
        admission.refuse(
                tick,
                ended,
                "endpoint-unavailable",
                "No endpoint accepted the request: " + result.code(),
                Optional.of(UNAVAILABLE_RETRY_AFTER));
    }

    /**
     * Handles an attempt that may have run. Only idempotent requests are retried; a partial generation is resumed.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param event The event.
     * @param result The result.
     */
    private void handleMaybeRun(
            Tick tick, RequestRow row, RequestEvent.AttemptEnded event, AttemptResult.MaybeRun result) {
        RequestRow before = row.withHistory(row.history().afterEnd(event.attempt(), true, result.code()));
        RequestRow ended = result.partial()
                .map(partial -> applyProgress(tick, before, partial))
                .orElse(before);
        if (!ended.history().running().isEmpty()) {
            tables.requests.put(ended.id(), ended);
            return;
        }
        if (!ended.request().idempotent()) {
            resolution.settle(tick, ended, event.endpoint(), failedAfterSend(result.code()));
            return;
        }
        boolean resumes = ended.history().partialTokens() > 0;
        if (mayRetry(ended, resumes)) {
            retry(tick, ended, !resumes);
            return;
        }
        conclusions.conclude(tick, ended, failedAfterSend(result.code()));
    }

    /**
     * Returns whether a request may be sent again.
     *
     * @param row The request's row.
     * @param free Whether the retry budget is not consulted, as for a resume, which continues work instead of repeating
     *     it.
     * @return {@code true} if the request may be sent again.
     */
    private boolean mayRetry(RequestRow row, boolean free) {
        Optional<PoolState> pool = tables.pool(row.request().pool());
        return pool.isPresent()
                && row.history().attempts() < pool.get().settings.retry().maximumAttempts()
                && (free || pool.get().budget.allows())
                && tables.quarantine.allowsRetry(row.request()::content);
    }

    /**
     * Queues a request for another attempt.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param charged Whether the retry is charged to the retry budget and delayed by a backoff.
     */
    private void retry(Tick tick, RequestRow row, boolean charged) {
        PoolState pool = tables.pool(row.request().pool()).orElseThrow();
        Duration pause = Duration.ZERO;
        if (charged) {
            pool.budget = pool.budget.withdraw();
            pause = Backoff.pause(pool.settings.retry(), row.history().attempts(), tick.random());
        }
        RequestRow queued = row.queuedUntil(tick.now().plus(pause), tick.now());
        tables.requests.put(row.id(), queued);
        admission.enqueue(pool, queued);
        tick.decide(Decision.of(
                "retry",
                row.id().value(),
                row.request().pool().value(),
                row.history().lastCode() + ", " + row.history().partialTokens() + " tokens kept"));
    }

    /**
     * Creates the outcome of a request that was sent and failed.
     *
     * @param code The code of the failure.
     * @return The outcome.
     */
    private static Outcome.FailedAfterSend failedAfterSend(String code) {
        return new Outcome.FailedAfterSend(code, "The request was sent, but its answer was not received completely.");
    }
}
