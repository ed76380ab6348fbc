package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.retry.Backoff;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** Takes in what attempts bring: progress, answers and failures, which are tried again where that is safe. */
final class AttemptSystem implements DecisionSystem {

    /** The lowest status of an answer that is no success. */
    private static final int BAD_REQUEST = 400;

    /** The statuses by which an endpoint says that it could not serve a request. */
    private static final Set<Integer> FAILURE_STATUSES = Set.of(502, 503, 504);

    /** The time after which a caller may ask again when no endpoint could be reached. */
    private static final Duration UNAVAILABLE_RETRY_AFTER = Duration.ofSeconds(1);

    /** The tables. */
    private final RequestTables tables;

    /** What brings requests to their outcome. */
    private final Conclusions conclusions;

    /** What puts requests into the queue. */
    private final Admission admission;

    /** What searches outcomes at endpoints. */
    private final ResolutionSystem resolution;

    /** What learns from attempts. */
    private final AttemptObserver observer;

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions What brings requests to their outcome.
     * @param admission What puts requests into the queue.
     * @param resolution What searches outcomes at endpoints.
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
                progressed(tick, progressed);
            } else if (event instanceof RequestEvent.AttemptEnded ended) {
                ended(tick, ended);
            }
        }
    }

    /**
     * Takes in the progress of an attempt.
     *
     * @param tick The tick.
     * @param event The event.
     */
    private void progressed(Tick tick, RequestEvent.Progressed event) {
        Optional<RequestRow> row = tables.requests.find(event.id());
        if (row.isPresent() && row.get().history().running().contains(event.attempt())) {
            tables.requests.put(event.id(), progressed(tick, row.get(), event.partial()));
        }
    }

    /**
     * Takes in what was generated so far. Text that does not go on where the earlier text ended is not used, because a
     * stream's text can't be taken back.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param partial What was generated so far.
     * @return The changed row.
     */
    private static RequestRow progressed(Tick tick, RequestRow row, Generation partial) {
        if (!goesOn(row, partial)) {
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
     * Returns whether a generation begins with what is known of the request already.
     *
     * @param row The request's row.
     * @param generation The generation.
     * @return {@code true} if the generation goes on where the earlier one ended.
     */
    private static boolean goesOn(RequestRow row, Generation generation) {
        return row.history()
                .partial()
                .map(known -> generation.text().startsWith(known.text()))
                .orElse(true);
    }

    /**
     * Takes in the end of an attempt. The result of an attempt that was given up is dropped.
     *
     * @param tick The tick.
     * @param event The event.
     */
    private void ended(Tick tick, RequestEvent.AttemptEnded event) {
        Optional<Attempt> attempt = tables.attempts.remove(event.attempt());
        if (attempt.isEmpty() || !attempt.get().id().equals(event.id())) {
            return;
        }
        observer.observe(tick, attempt.get(), event.result());
        Optional<RequestRow> row = tables.requests.find(event.id());
        if (row.isPresent() && event.result() instanceof AttemptResult.MaybeRun lost) {
            Request request = row.get().request();
            tables.quarantine.lose(tick, request::content, request.describe(), event.endpoint(), lost.loss());
        }
        if (row.isEmpty() || !row.get().history().running().contains(event.attempt())) {
            tick.decide(Decision.of("drop", event.id().value(), event.endpoint().toString(), "late result"));
            return;
        }
        if (event.result() instanceof AttemptResult.Whole whole) {
            answered(tick, row.get(), event, whole);
        } else if (event.result() instanceof AttemptResult.NotRun notRun) {
            notRun(tick, row.get(), event.attempt(), notRun);
        } else if (event.result() instanceof AttemptResult.MaybeRun maybeRun) {
            maybeRun(tick, row.get(), event, maybeRun);
        }
    }

    /**
     * Takes in a whole answer.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param event The event.
     * @param whole The answer.
     */
    private void answered(Tick tick, RequestRow row, RequestEvent.AttemptEnded event, AttemptResult.Whole whole) {
        if (row.request().streaming()
                && whole.generation().isPresent()
                && !goesOn(row, whole.generation().get())) {
            RequestRow failed = row.withHistory(row.history().afterEnd(event.attempt(), true, "resume-mismatch"));
            conclusions.conclude(
                    tick, failed, new Outcome.FailedAfterSend("resume-mismatch", "The stream could not be resumed."));
            return;
        }
        RequestRow ended = row.withHistory(row.history().afterEnd(event.attempt(), true, ""));
        if (whole.status() < BAD_REQUEST) {
            boolean first = row.history().attempts() == 1;
            tables.quarantine.serve(tick, row.request()::content, first);
        }
        boolean failure = FAILURE_STATUSES.contains(whole.status());
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
                        event.endpoint(), whole.status(), whole.contentType(), whole.body(), whole.generation()));
    }

    /**
     * Takes in an attempt that surely did not run, which any request may repeat. A refusal of a leaving endpoint costs
     * no budget, because another endpoint does the work instead and not besides.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param number The number of the attempt.
     * @param result The result.
     */
    private void notRun(Tick tick, RequestRow row, int number, AttemptResult.NotRun result) {
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
                "No endpoint took the request: " + result.code(),
                Optional.of(UNAVAILABLE_RETRY_AFTER));
    }

    /**
     * Takes in an attempt that may have run. Only idempotent requests are sent again; what was generated is resumed
     * from.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param event The event.
     * @param result The result.
     */
    private void maybeRun(Tick tick, RequestRow row, RequestEvent.AttemptEnded event, AttemptResult.MaybeRun result) {
        RequestRow before = row.withHistory(row.history().afterEnd(event.attempt(), true, result.code()));
        RequestRow ended = result.partial()
                .map(partial -> progressed(tick, before, partial))
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
     * @param free Whether the retry budget does not count, as for a resume, which goes on with work instead of doing it
     *     again.
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
     * Puts a request back into the queue.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param charged Whether the retry budget is charged and the request waits before it is sent again.
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
     * Describes a request that was sent and failed.
     *
     * @param code The code of the failure.
     * @return The outcome.
     */
    private static Outcome.FailedAfterSend failedAfterSend(String code) {
        return new Outcome.FailedAfterSend(code, "The request was sent and its answer was not received whole.");
    }
}
