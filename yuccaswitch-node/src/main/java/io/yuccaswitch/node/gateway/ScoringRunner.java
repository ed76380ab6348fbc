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
import org.jboss.logging.Logger;

/** Sends scoring requests to endpoints, and tells the core what became of each attempt. */
final class ScoringRunner implements AutoCloseable {

    /** The method of scoring requests. */
    private static final String METHOD = "POST";

    /** The class of statuses that mean success. */
    private static final int SUCCESS_CLASS = 2;

    /** The status of an endpoint that failed while it ran the request. */
    private static final int FAILED = 500;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(ScoringRunner.class);

    /** Sends requests to endpoints. */
    private final EndpointAttempts attempts;

    /** How endpoints speak. */
    private final EndpointDialect dialect;

    /** The core. */
    private final DecisionLoop loop;

    /** The metrics. */
    private final MetricRegistry metrics;

    /** The attempts in progress. */
    private final Map<Key, Sending> running = new ConcurrentHashMap<>();

    /** The subscriptions. */
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a runner and connects it to the core.
     *
     * @param attempts Sends requests to endpoints.
     * @param dialect How endpoints speak.
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
        running.values().forEach(Sending::cancel);
    }

    /**
     * Starts an attempt on a thread of its own.
     *
     * @param score What to send.
     */
    private void start(BatchEffect.Score score) {
        Sending sending = new Sending(score);
        running.put(Key.of(score), sending);
        Schedulers.io().scheduleDirect(sending::run);
    }

    /**
     * Breaks an attempt off.
     *
     * @param cancel The attempt.
     */
    private void cancel(BatchEffect.CancelScoring cancel) {
        Sending sending = running.remove(new Key(cancel.id(), cancel.item(), cancel.attempt()));
        if (sending != null) {
            sending.cancel();
        }
    }

    /**
     * Builds the request of an attempt.
     *
     * @param score What to send.
     * @return The request.
     */
    private OutgoingRequest request(BatchEffect.Score score) {
        ScoringRequest request = score.request();
        List<Map.Entry<String, String>> headers =
                List.of(Map.entry("Host", request.host()), Map.entry(dialect.requestIdHeader(), request.id()));
        return new OutgoingRequest(request.id(), METHOD, request.path(), headers, Optional.empty(), request.body());
    }

    /**
     * Judges what became of an attempt.
     *
     * @param result The result of the attempt.
     * @return What it says of the score.
     */
    private ScoringOutcome outcome(AttemptResult result) {
        if (result instanceof AttemptResult.NotRun notRun) {
            return new ScoringOutcome.Refused(notRun.reason());
        }
        if (!(result instanceof AttemptResult.Whole whole)) {
            return result instanceof AttemptResult.MayHaveRun lost
                    ? new ScoringOutcome.Interrupted(lost.reason(), lost.loss())
                    : new ScoringOutcome.Interrupted("no whole answer");
        }
        Optional<String> signature = dialect.signature(whole.headers());
        if (signature.isEmpty()) {
            return new ScoringOutcome.Interrupted("status " + whole.status() + " without a signature");
        }
        if (whole.status() / 100 == SUCCESS_CLASS) {
            return new ScoringOutcome.Scored(signature.get());
        }
        return whole.status() == FAILED
                ? new ScoringOutcome.Failed()
                : new ScoringOutcome.Interrupted("status " + whole.status());
    }

    /**
     * Names an outcome, for metrics.
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
         * @param score What is sent.
         * @return The key.
         */
        static Key of(BatchEffect.Score score) {
            return new Key(score.id(), score.item(), score.attempt());
        }
    }

    /** An attempt in progress. */
    private final class Sending {

        /** What to send. */
        private final BatchEffect.Score score;

        /** The call, once there is one. */
        private volatile Optional<Call> call = Optional.empty();

        /** Whether the attempt is broken off. */
        private volatile boolean cancelled;

        /**
         * Creates an attempt that is not sent yet.
         *
         * @param score What to send.
         */
        Sending(BatchEffect.Score score) {
            this.score = score;
        }

        /** Sends the request, waits for its answer, and tells the core. */
        void run() {
            if (cancelled) {
                return;
            }
            long begun = System.nanoTime();
            EndpointAttempts.Opened opened = open();
            AttemptResult result = opened.failure().orElseGet(() -> attempts.readWhole(opened));
            if (cancelled) {
                return;
            }
            running.remove(Key.of(score));
            ScoringOutcome outcome = outcome(result);
            metrics.counter("gateway.scoring." + label(outcome)).inc();
            metrics.timer("gateway.scoring-time").update(System.nanoTime() - begun, TimeUnit.NANOSECONDS);
            OptionalInt load =
                    opened.response().map(Response::headers).map(dialect::load).orElseGet(OptionalInt::empty);
            loop.accept(new BatchEvent.ScoringEnded(score.id(), score.item(), score.attempt(), outcome, load));
        }

        /**
         * Sends the request and waits for the head of its answer.
         *
         * @return The attempt in progress.
         */
        private EndpointAttempts.Opened open() {
            EndpointHttp.ConnectionUse connection =
                    score.inDoubt() ? EndpointHttp.ConnectionUse.NEW : EndpointHttp.ConnectionUse.KEPT;
            EndpointAttempts.Times times = new EndpointAttempts.Times(score.timeLeft(), score.timeLeft());
            try {
                return attempts.open(
                        request(score), score.endpoint(), times, connection, Optional.empty(), this::attach);
            } catch (IllegalArgumentException exception) {
                LOGGER.warnf(
                        "event=scoring-not-sent id=%s reason=\"%s\"",
                        score.request().id(), exception);
                return EndpointAttempts.Opened.failed(
                        score.endpoint(),
                        new AttemptResult.NotRun(AttemptResult.NotRunCause.REFUSED, "it can't be sent"));
            }
        }

        /** Breaks the attempt off. */
        void cancel() {
            cancelled = true;
            call.ifPresent(Call::cancel);
        }

        /**
         * Notes the call, which is broken off at once if the attempt is.
         *
         * @param begun The call.
         */
        private void attach(Call begun) {
            call = Optional.of(begun);
            if (cancelled) {
                begun.cancel();
            }
        }
    }
}
