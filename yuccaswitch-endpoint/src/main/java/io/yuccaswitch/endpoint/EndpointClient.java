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
 * Carries out attempts at endpoints. An attempt yields its progress and then exactly one
 * {@link RequestEvent.AttemptEnded}, also if it is cancelled. A request is never sent twice by one attempt. Progress
 * and results of an attempt that resumes a generation cover the whole generation.
 *
 * <p>To wire it, subscribe to the {@link RequestEffect.Send} and {@link RequestEffect.CancelAttempt} effects and hand
 * the events of {@link #attempt} to the decision core.
 */
public final class EndpointClient {

    /** The pause between two events of progress for a caller that reads along. */
    private static final long STREAMING_PROGRESS_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The pause between two events of progress otherwise. */
    private static final long PROGRESS_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** The HTTP client. */
    private final EndpointHttp http;

    /** Reads the monotonic clock of the decision core. */
    private final Supplier<MonotonicTime> clock;

    /** Takes what is learned about endpoints besides the results of attempts. */
    private final Consumer<? super Event> sink;

    /** The metrics. */
    private final MetricRegistry metrics;

    /** Finds out whether endpoints have ended. */
    private final EndpointChecks checks;

    /** The attempts under way. */
    private final Map<Key, Running> running = new ConcurrentHashMap<>();

    /**
     * Creates a new client.
     *
     * @param http The HTTP client.
     * @param clock Reads the monotonic clock of the decision core.
     * @param sink Takes what is learned about endpoints besides the results of attempts.
     * @param metrics The metrics, where results are counted by their codes.
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
     * Carries out an attempt once the result is subscribed to.
     *
     * @param send What is to be done.
     * @param kind What the endpoint is.
     * @return The progress, of which only the latest is kept for a slow subscriber, and then the end of the attempt.
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
     * Cancels an attempt, which ends soon after.
     *
     * @param id The identifier of the request.
     * @param attempt The number of the attempt.
     */
    public void cancel(RequestId id, int attempt) {
        Running found = running.get(new Key(id, attempt));
        if (found != null) {
            found.attempt().cancel(found.call());
        }
    }

    /**
     * Starts an attempt.
     *
     * @param send What is to be done.
     * @param kind What the endpoint is.
     * @param emitter Takes the events.
     */
    private void start(RequestEffect.Send send, PoolKind kind, FlowableEmitter<RequestEvent> emitter) {
        boolean generates = EngineProtocol.generates(kind, send.request());
        String wireId = generates ? send.id() + "~" + send.attempt() : send.id().value();
        Transmission transmission = new Transmission(() -> clock.get().isBefore(send.deadline()));
        AnswerReader reader = reader(send, generates, wireId, emitter);
        Consumer<String> leaving =
                incarnation -> sink.accept(new EndpointEvent.Leaving(send.endpoint(), incarnation, "own refusal"));
        Attempt attempt = new Attempt(send, wireId, transmission, reader, clock, checks, leaving, emitter);
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
                send.inDoubt() ? EndpointHttp.ConnectionUse.NEW : EndpointHttp.ConnectionUse.KEPT;
        Call call = http.call(request.get(), transmission, timeLeft, connection);
        Key key = new Key(send.id(), send.attempt());
        emitter.setCancellable(() -> attempt.cancel(call));
        running.put(key, new Running(call, attempt));
        call.enqueue(new Forgetting(attempt, key, () -> {
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
     * Names a result for the metrics, in a form that endpoints can't choose freely.
     *
     * @param result The result.
     * @return The name.
     */
    private static String label(AttemptResult result) {
        if (result instanceof AttemptResult.MaybeRun maybeRun) {
            return "maybe-run." + maybeRun.code();
        }
        return result instanceof AttemptResult.Whole ? "whole" : "not-run";
    }

    /**
     * Makes the reader of the answer.
     *
     * @param send What is to be done.
     * @param generates Whether the answer is a generation.
     * @param wireId The identifier that the answer must bear.
     * @param emitter Takes the progress.
     * @return The reader.
     */
    private AnswerReader reader(
            RequestEffect.Send send, boolean generates, String wireId, FlowableEmitter<RequestEvent> emitter) {
        long maximumBytes = http.settings().maximumAnswerBytes();
        if (!generates) {
            return new AnswerReader.Plain(maximumBytes);
        }
        long pause = send.request().streaming() ? STREAMING_PROGRESS_NANOS : PROGRESS_NANOS;
        Paced progress = new Paced(
                pause,
                builder -> emitter.onNext(new RequestEvent.Progressed(send.id(), send.attempt(), builder.partial())));
        return new GenerationReader(send.request(), wireId, send.resumeFrom(), maximumBytes, progress);
    }

    /**
     * Prepares the HTTP request.
     *
     * @param send What is to be done.
     * @param generates Whether the answer is a generation.
     * @param wireId The identifier that the answer must bear.
     * @return The request, or empty if it can't be put into HTTP.
     */
    private Optional<okhttp3.Request.Builder> prepare(RequestEffect.Send send, boolean generates, String wireId) {
        Request request = send.request();
        HttpUrl url = HttpUrl.parse("http://" + send.address() + request.path());
        if (url == null || !request.path().startsWith("/")) {
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
     * Tells an engine that nobody waits for a generation any more. The closed connection tells it too, but only when
     * the engine next writes.
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
        http.call(request, new Transmission(), http.settings().probeTimeout()).enqueue(Ignored.INSTANCE);
    }

    /**
     * Names an attempt.
     *
     * @param id The identifier of the request.
     * @param attempt The number of the attempt.
     */
    private record Key(RequestId id, int attempt) {}

    /**
     * An attempt under way.
     *
     * @param call The call.
     * @param attempt The attempt.
     */
    private record Running(Call call, Attempt attempt) {}

    /** Forgets an attempt that has ended, and cancels at the engine what may go on there. */
    private final class Forgetting implements Callback {

        /** The attempt. */
        private final Attempt attempt;

        /** The attempt's name. */
        private final Key key;

        /** Cancels at the engine. */
        private final Runnable abandon;

        /**
         * Creates the callback.
         *
         * @param attempt The attempt.
         * @param key The attempt's name.
         * @param abandon Cancels at the engine.
         */
        Forgetting(Attempt attempt, Key key, Runnable abandon) {
            this.attempt = attempt;
            this.key = key;
            this.abandon = abandon;
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(Call call, IOException exception) {
            running.remove(key);
            attempt.onFailure(call, exception);
            abandonIfCancelled(call);
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(Call call, Response response) {
            attempt.onResponse(call, response);
            running.remove(key);
            abandonIfCancelled(call);
        }

        /**
         * Cancels at the engine if the attempt was given up, and did not just fail.
         *
         * @param call The call.
         */
        private void abandonIfCancelled(Call call) {
            if (call.isCanceled()) {
                abandon.run();
            }
        }
    }

    /** Passes progress on, but not more often than is of use. */
    private static final class Paced implements Consumer<GenerationBuilder> {

        /** The pause between two events. */
        private final long pauseNanos;

        /** Takes the progress. */
        private final Consumer<GenerationBuilder> target;

        /** The time of the latest event, or empty before the first one. */
        private Optional<Long> passedAt = Optional.empty();

        /**
         * Creates the pacing.
         *
         * @param pauseNanos The pause between two events.
         * @param target Takes the progress.
         */
        Paced(long pauseNanos, Consumer<GenerationBuilder> target) {
            this.pauseNanos = pauseNanos;
            this.target = target;
        }

        /** {@inheritDoc} */
        @Override
        public void accept(GenerationBuilder builder) {
            long now = System.nanoTime();
            if (passedAt.map(last -> now - last < pauseNanos).orElse(false)) {
                return;
            }
            passedAt = Optional.of(now);
            target.accept(builder);
        }
    }

    /** Ignores the outcome of a call. */
    private enum Ignored implements Callback {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public void onFailure(Call _call, IOException _exception) {}

        /** {@inheritDoc} */
        @Override
        public void onResponse(Call _call, Response response) {
            response.close();
        }
    }
}
