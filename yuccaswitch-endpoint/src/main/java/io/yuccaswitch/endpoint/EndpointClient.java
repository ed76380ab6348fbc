package io.yuccaswitch.endpoint;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.EndpointEvent;
import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.request.RequestEffect;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.Response;

/**
 * Carries out attempts at endpoints. An attempt emits its progress and then exactly one
 * {@link RequestEvent.AttemptEnded}, even if it is cancelled. One attempt never sends a request twice. Progress and
 * results of an attempt that resumes a generation cover the complete generation.
 *
 * <p>To wire it, subscribe to the {@link RequestEffect.Send} and {@link RequestEffect.CancelAttempt} effects and pass
 * the events of {@link #attempt} to the decision core.
 */
public final class EndpointClient {

    /** The minimum interval between two progress events for a streaming caller. */
    private static final long STREAMING_PROGRESS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The minimum interval between two progress events for other callers. */
    private static final long PROGRESS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** The HTTP client. */
    private final EndpointHttp http;

    /** Reads the monotonic clock of the decision core. */
    private final Supplier<MonotonicTime> clock;

    /** Receives events about endpoints other than the results of attempts. */
    private final Consumer<? super Event> sink;

    /** The metrics. */
    private final MetricRegistry metrics;

    /** Determines whether endpoints have terminated. */
    private final EndpointChecks checks;

    /** The attempts in progress. */
    private final Map<AttemptKey, RunningAttempt> running = new ConcurrentHashMap<>();

    /**
     * Creates a new client.
     *
     * @param http The HTTP client.
     * @param clock Reads the monotonic clock of the decision core.
     * @param sink Receives events about endpoints other than the results of attempts.
     * @param metrics The metrics, which count results by their codes.
     */
    public EndpointClient(
            EndpointHttp http, Supplier<MonotonicTime> clock, Consumer<? super Event> sink, MetricRegistry metrics) {
        this.http = http;
        this.clock = clock;
        this.sink = sink;
        this.metrics = metrics;
        checks = new EndpointChecks(metrics);
        metrics.gauge("endpoint.attempts.running", () -> running::size);
    }

    /**
     * Carries out an attempt on subscription to the result.
     *
     * @param send The attempt to carry out.
     * @param kind The kind of the endpoint's pool.
     * @return The progress, of which only the latest event is retained for a slow subscriber, followed by the end of
     *     the attempt.
     */
    public Flowable<RequestEvent> attempt(RequestEffect.Send send, PoolKind kind) {
        return Flowable.<RequestEvent>create(emitter -> start(send, kind, emitter), BackpressureStrategy.LATEST)
                .onErrorReturn(_failure -> new RequestEvent.AttemptEnded(
                        send.id(),
                        send.attempt(),
                        send.endpoint(),
                        new AttemptResult.MaybeRun("client-failed", Optional.empty())))
                .doOnNext(this::count);
    }

    /**
     * Cancels an attempt. Its end is emitted asynchronously.
     *
     * @param id The identifier of the request.
     * @param attempt The number of the attempt.
     */
    public void cancel(RequestId id, int attempt) {
        RunningAttempt runningAttempt = running.get(new AttemptKey(id, attempt));
        if (runningAttempt != null) {
            runningAttempt.attempt().cancel(runningAttempt.call());
        }
    }

    /**
     * Starts an attempt.
     *
     * @param send The attempt to carry out.
     * @param kind The kind of the endpoint's pool.
     * @param emitter Receives the events.
     */
    private void start(RequestEffect.Send send, PoolKind kind, FlowableEmitter<RequestEvent> emitter) {
        boolean generates = EngineProtocol.generates(kind, send.request());
        String wireId = generates ? send.id() + "~" + send.attempt() : send.id().value();
        Transmission transmission = new Transmission(() -> clock.get().isBefore(send.deadline()));
        AnswerReader reader = reader(send, generates, wireId, emitter);
        Consumer<String> leavingListener =
                incarnation -> sink.accept(new EndpointEvent.Leaving(send.endpoint(), incarnation, "own refusal"));
        Attempt attempt = new Attempt(send, wireId, transmission, reader, clock, checks, leavingListener, emitter);
        Optional<okhttp3.Request.Builder> request = prepare(send, generates, wireId);
        if (request.isEmpty()) {
            attempt.end(new AttemptResult.NotRun("malformed-request", false));
            return;
        }
        Duration timeLeft = send.deadline().since(clock.get());
        if (timeLeft.isNegative() || timeLeft.isZero()) {
            attempt.end(new AttemptResult.NotRun(FailureCodes.DEADLINE_EXCEEDED, false));
            return;
        }
        EndpointHttp.ConnectionUse connection =
                send.suspected() ? EndpointHttp.ConnectionUse.NEW : EndpointHttp.ConnectionUse.KEPT;
        Call call = http.call(request.get(), transmission, timeLeft, connection);
        AttemptKey key = new AttemptKey(send.id(), send.attempt());
        emitter.setCancellable(() -> attempt.cancel(call));
        running.put(key, new RunningAttempt(call, attempt));
        call.enqueue(new CleanupCallback(attempt, key, () -> {
            if (generates && transmission.begun()) {
                cancelAtEngine(send.address(), wireId);
            }
        }));
    }

    /**
     * Counts the end of an attempt.
     *
     * @param event The event.
     */
    private void count(RequestEvent event) {
        if (event instanceof RequestEvent.AttemptEnded ended) {
            metrics.counter("endpoint.attempts." + label(ended.result())).inc();
        }
    }

    /**
     * Returns the metric label of a result. Endpoints can't choose the label freely, which bounds the number of
     * metrics.
     *
     * @param result The result.
     * @return The label.
     */
    private static String label(AttemptResult result) {
        if (result instanceof AttemptResult.MaybeRun maybeRun) {
            return "maybe-run." + maybeRun.code();
        }
        return result instanceof AttemptResult.Complete ? "whole" : "not-run";
    }

    /**
     * Creates the reader of the answer.
     *
     * @param send The attempt to carry out.
     * @param generates Whether the answer is a generation.
     * @param wireId The identifier that the answer must carry.
     * @param emitter Receives the progress.
     * @return The reader.
     */
    private AnswerReader reader(
            RequestEffect.Send send, boolean generates, String wireId, FlowableEmitter<RequestEvent> emitter) {
        long maximumBytes = http.settings().maximumAnswerBytes();
        if (!generates) {
            return new AnswerReader.Plain(maximumBytes);
        }
        long intervalNanos = send.request().streaming() ? STREAMING_PROGRESS_INTERVAL_NANOS : PROGRESS_INTERVAL_NANOS;
        ThrottledConsumer progress = new ThrottledConsumer(
                intervalNanos,
                builder -> emitter.onNext(new RequestEvent.Progressed(send.id(), send.attempt(), builder.partial())));
        return new GenerationReader(send.request(), wireId, send.resumeFrom(), maximumBytes, progress);
    }

    /**
     * Prepares the HTTP request.
     *
     * @param send The attempt to carry out.
     * @param generates Whether the answer is a generation.
     * @param wireId The identifier that the answer must carry.
     * @return The request, or empty if it can't be represented in HTTP.
     */
    private Optional<okhttp3.Request.Builder> prepare(RequestEffect.Send send, boolean generates, String wireId) {
        Request request = send.request();
        HttpUrl url = HttpUrl.parse("http://" + send.address() + request.path());
        if (url == null || SendableTarget.flaw(request.path()).isPresent()) {
            return Optional.empty();
        }
        try {
            Bytes body = generates ? EngineProtocol.body(request, send.resumeFrom()) : request.body();
            boolean bodiless = body.size() == 0
                    && (request.method().equals("GET") || request.method().equals("HEAD"));
            return Optional.of(new okhttp3.Request.Builder()
                    .url(url)
                    .header(Attempt.REQUEST_ID, wireId)
                    .header("X-Priority", request.priority().name().toLowerCase(Locale.ROOT))
                    .method(request.method(), bodiless ? null : new OneShotBody(request.contentType(), body)));
        } catch (AnswerException | IllegalArgumentException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Cancels a generation whose result is no longer needed. The engine would also detect the closed connection, but
     * only at its next write.
     *
     * @param address The engine's address.
     * @param wireId The identifier of the generation.
     */
    private void cancelAtEngine(String address, String wireId) {
        HttpUrl url = HttpUrl.get("http://" + address)
                .newBuilder()
                .addPathSegments("v1/requests")
                .addPathSegment(wireId)
                .build();
        okhttp3.Request.Builder request = new okhttp3.Request.Builder().url(url).delete();
        http.call(request, new Transmission(), http.settings().probeTimeout()).enqueue(new IgnoringCallback(http));
    }

    /**
     * Identifies an attempt.
     *
     * @param id The identifier of the request.
     * @param attempt The number of the attempt.
     */
    private record AttemptKey(RequestId id, int attempt) {}

    /**
     * An attempt in progress.
     *
     * @param call The call.
     * @param attempt The attempt.
     */
    private record RunningAttempt(Call call, Attempt attempt) {}

    /** Removes an attempt that has ended and cancels a generation that may still be running at the engine. */
    private final class CleanupCallback implements Callback {

        /** The attempt. */
        private final Attempt attempt;

        /** The key of the attempt. */
        private final AttemptKey key;

        /** Cancels the generation at the engine. */
        private final Runnable cancellation;

        /**
         * Creates the callback.
         *
         * @param attempt The attempt.
         * @param key The key of the attempt.
         * @param cancellation Cancels the generation at the engine.
         */
        CleanupCallback(Attempt attempt, AttemptKey key, Runnable cancellation) {
            this.attempt = attempt;
            this.key = key;
            this.cancellation = cancellation;
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(Call call, IOException exception) {
            running.remove(key);
            attempt.onFailure(call, exception);
            runCancellationIfCancelled(call);
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(Call call, Response response) {
            attempt.onResponse(call, response);
            running.remove(key);
            runCancellationIfCancelled(call);
        }

        /**
         * Cancels the generation at the engine if the call was cancelled rather than failed.
         *
         * @param call The call.
         */
        private void runCancellationIfCancelled(Call call) {
            if (call.isCanceled()) {
                cancellation.run();
            }
        }
    }

    /** Forwards progress at a limited rate. */
    private static final class ThrottledConsumer implements Consumer<GenerationBuilder> {

        /** The minimum interval between two forwarded events. */
        private final long intervalNanos;

        /** Receives the progress. */
        private final Consumer<GenerationBuilder> target;

        /** The time of the last forwarded event, or empty before the first one. */
        private Optional<Long> lastForwardedNanos = Optional.empty();

        /**
         * Creates the consumer.
         *
         * @param intervalNanos The minimum interval between two forwarded events.
         * @param target Receives the progress.
         */
        ThrottledConsumer(long intervalNanos, Consumer<GenerationBuilder> target) {
            this.intervalNanos = intervalNanos;
            this.target = target;
        }

        /** {@inheritDoc} */
        @Override
        public void accept(GenerationBuilder builder) {
            long now = System.nanoTime();
            if (lastForwardedNanos.map(last -> now - last < intervalNanos).orElse(false)) {
                return;
            }
            lastForwardedNanos = Optional.of(now);
            target.accept(builder);
        }
    }

    /**
     * Ignores the result of a call.
     *
     * @param http The client of the call.
     */
    private record IgnoringCallback(EndpointHttp http) implements Callback {

        /** {@inheritDoc} */
        @Override
        public void onFailure(Call _call, IOException _exception) {}

        /** {@inheritDoc} */
        @Override
        public void onResponse(Call call, Response response) {
            http.discard(call, response);
        }
    }
}
