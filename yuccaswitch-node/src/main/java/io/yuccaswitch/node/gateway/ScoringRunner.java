package io.yuccaswitch.node.gateway;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.batch.BatchEffect;
import io.yuccaswitch.core.batch.BatchEvent;
import io.yuccaswitch.core.batch.BatchJobId;
import io.yuccaswitch.core.batch.ScoringOutcome;
import io.yuccaswitch.core.batch.ScoringRequest;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Response;

/** Sends scoring requests to endpoints and reports the outcome of each attempt to the core. */
final class ScoringRunner implements AutoCloseable {

    /** The method of scoring requests. */
    private static final String METHOD = "POST";

    /** The first digit of the statuses of success. */
    private static final int SUCCESS_CLASS = 2;

    /** The status of an endpoint that failed while it ran the request. */
    private static final int INTERNAL_SERVER_ERROR = 500;

    /** Sends requests to endpoints. */
    private final EndpointAttempts attempts;

    /** The dialect of endpoints. */
    private final EndpointDialect dialect;

    /** The core. */
    private final DecisionLoop loop;

    /** The metrics. */
    private final MetricRegistry metrics;

    /** The attempts in progress. */
    private final Map<Key, Attempt> running = new ConcurrentHashMap<>();

    /** The subscriptions. */
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a runner and connects it to the core.
     *
     * @param attempts Sends requests to endpoints.
     * @param dialect The dialect of endpoints.
     * @param loop The core.
     * @param metrics The metrics.
     */
    ScoringRunner(EndpointAttempts attempts, EndpointDialect dialect, DecisionLoop loop, MetricRegistry metrics) {
        this.attempts = attempts;
        this.dialect = dialect;
        this.loop = loop;
        this.metrics = metrics;
        subscriptions.add(loop.effects(BatchEffect.Score.class).subscribe(this::start));
        subscriptions.add(loop.effects(BatchEffect.CancelScoring.class).subscribe(this::cancel));
    }

    @Override
    public void close() {
        subscriptions.dispose();
        running.values().forEach(Attempt::cancel);
    }

    /**
     * Starts an attempt on an I/O thread.
     *
     * @param score The scoring request to send.
     */
    private void start(BatchEffect.Score score) {
        Attempt attempt = new Attempt(score);
        running.put(Key.of(score), attempt);
        Schedulers.io().scheduleDirect(attempt::run);
    }

    /**
     * Cancels an attempt.
     *
     * @param cancel The attempt to cancel.
     */
    private void cancel(BatchEffect.CancelScoring cancel) {
        Attempt attempt = running.remove(new Key(cancel.id(), cancel.item(), cancel.attempt()));
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /**
     * Builds the request of an attempt.
     *
     * @param score The scoring request to send.
     * @return The request.
     */
    private OutgoingRequest request(BatchEffect.Score score) {
        ScoringRequest request = score.request();
        List<Map.Entry<String, String>> headers =
                List.of(Map.entry("Host", request.host()), Map.entry(dialect.requestIdHeader(), request.id()));
        return new OutgoingRequest(request.id(), METHOD, request.path(), headers, Optional.empty(), request.body());
    }

    /**
     * Determines the scoring outcome of an attempt.
     *
     * @param result The result of the attempt.
     * @return The outcome.
     */
    private ScoringOutcome outcome(AttemptResult result) {
        if (result instanceof AttemptResult.NotRun notRun) {
            return new ScoringOutcome.Refused(notRun.reason());
        }
        if (!(result instanceof AttemptResult.Complete complete)) {
            return result instanceof AttemptResult.MayHaveRun mayHaveRun
                    ? new ScoringOutcome.Interrupted(mayHaveRun.reason(), mayHaveRun.loss())
                    : new ScoringOutcome.Interrupted("no complete answer");
        }
        Optional<String> signature = dialect.signature(complete.headers());
        if (signature.isEmpty()) {
            return new ScoringOutcome.Interrupted("status " + complete.status() + " without a signature");
        }
        if (complete.status() / 100 == SUCCESS_CLASS) {
            return new ScoringOutcome.Scored(signature.get());
        }
        return complete.status() == INTERNAL_SERVER_ERROR
                ? new ScoringOutcome.Failed()
                : new ScoringOutcome.Interrupted("status " + complete.status());
    }

    /**
     * Returns the name of an outcome in metrics.
     *
     * @param outcome The outcome.
     * @return The name.
     */
    private static String label(ScoringOutcome outcome) {
        return outcome.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
    }

    /**
     * Identifies an attempt.
     *
     * @param id The job.
     * @param item The item.
     * @param attempt The number of the attempt.
     */
    private record Key(BatchJobId id, String item, int attempt) {

        /**
         * Returns the key of an attempt.
         *
         * @param score The scoring request.
         * @return The key.
         */
        static Key of(BatchEffect.Score score) {
            return new Key(score.id(), score.item(), score.attempt());
        }
    }

    /** An attempt in progress. */
    private final class Attempt {

        /** The scoring request to send. */
        private final BatchEffect.Score score;

        /** The call, or empty before it was created. */
        private volatile Optional<Call> call = Optional.empty();

        /** Whether the attempt was cancelled. */
        private volatile boolean cancelled;

        /**
         * Creates an attempt without sending its request.
         *
         * @param score The scoring request to send.
         */
        Attempt(BatchEffect.Score score) {
            this.score = score;
        }

        /** Sends the request, waits for its answer and reports the outcome to the core. */
        void run() {
            if (cancelled) {
                return;
            }
            long startedAt = System.nanoTime();
            EndpointAttempts.OpenedAttempt opened = open();
            AttemptResult result = opened.failure().orElseGet(() -> attempts.readComplete(opened));
            if (cancelled) {
                return;
            }
            running.remove(Key.of(score));
            ScoringOutcome outcome = outcome(result);
            metrics.counter("gateway.scoring." + label(outcome)).inc();
            metrics.timer("gateway.scoring-time").update(System.nanoTime() - startedAt, TimeUnit.NANOSECONDS);
            OptionalInt load = opened.response()
                    .map(Response::headers)
                    .flatMap(dialect::load)
                    .map(reported -> OptionalInt.of(reported.requests()))
                    .orElseGet(OptionalInt::empty);
            loop.accept(new BatchEvent.ScoringEnded(score.id(), score.item(), score.attempt(), outcome, load));
        }

        /**
         * Sends the request and waits for the status and headers of its answer.
         *
         * @return The attempt in progress.
         */
        private EndpointAttempts.OpenedAttempt open() {
            EndpointHttp.ConnectionUse connection =
                    score.uncertain() ? EndpointHttp.ConnectionUse.NEW : EndpointHttp.ConnectionUse.KEPT;
            EndpointAttempts.Timeouts timeouts = new EndpointAttempts.Timeouts(score.timeLeft(), score.timeLeft());
            return attempts.open(
                    request(score), score.endpoint(), timeouts, connection, Optional.empty(), this::attach);
        }

        /** Cancels the attempt. */
        void cancel() {
            cancelled = true;
            call.ifPresent(Call::cancel);
        }

        /**
         * Records the call, and cancels it at once if the attempt was cancelled.
         *
         * @param current The call.
         */
        private void attach(Call current) {
            call = Optional.of(current);
            if (cancelled) {
                current.cancel();
            }
        }
    }
}
