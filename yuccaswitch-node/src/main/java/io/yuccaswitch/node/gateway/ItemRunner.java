package io.yuccaswitch.node.gateway;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.yuccaswitch.core.batch.AttemptOutcome;
import io.yuccaswitch.core.batch.BatchEffect;
import io.yuccaswitch.core.batch.BatchEvent;
import io.yuccaswitch.core.batch.BatchItem;
import io.yuccaswitch.core.batch.BatchJobId;
import io.yuccaswitch.core.batch.ItemText;
import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.endpoint.EndpointChecks;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.endpoint.OneShotBody;
import io.yuccaswitch.endpoint.SendableTarget;
import io.yuccaswitch.endpoint.Transmission;
import io.yuccaswitch.http.MalformedAnswerException;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.platform.LogText;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.Response;

/** Runs the items of batch jobs at engines and reports the outcome of each attempt to the core. */
final class ItemRunner implements AutoCloseable {

    /** The maximum wait for the start of an answer, which includes the time that the item is queued at the engine. */
    private static final Duration HEAD_TIMEOUT = Duration.ofSeconds(3);

    /** The maximum wait between two events. Loading a version of the weights takes about half of it. */
    private static final Duration EVENT_TIMEOUT = Duration.ofMillis(2200);

    /** The interval at which timeouts are checked and progress is reported. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    /**
     * The minimum age of an answer before its text is copied to another node. Most items are complete by then, and
     * repeating them takes less work than copying them.
     */
    private static final Duration MINIMUM_COPY_AGE = Duration.ofSeconds(1);

    /** The status of success. */
    private static final int OK = 200;

    /** The status of an engine that failed while it ran the request. */
    private static final int INTERNAL_SERVER_ERROR = 500;

    /** The connections to engines. */
    private final EndpointHttp http;

    /** The dialect of engines. */
    private final EndpointDialect dialect;

    /** Checks whether engines have ended. */
    private final EndpointChecks checks;

    /** Checks engines again right before items are sent. */
    private final DispatchCheck dispatch;

    /** The core. */
    private final DecisionLoop loop;

    /** The attempts in progress. */
    private final Map<Key, Attempt> running = new ConcurrentHashMap<>();

    /** The subscriptions. */
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a runner and connects it to the core.
     *
     * @param http The connections to engines.
     * @param dialect The dialect of engines.
     * @param checks Checks whether engines have ended.
     * @param dispatch Checks engines again right before items are sent.
     * @param loop The core.
     */
    ItemRunner(
            EndpointHttp http,
            EndpointDialect dialect,
            EndpointChecks checks,
            DispatchCheck dispatch,
            DecisionLoop loop) {
        this.http = http;
        this.dialect = dialect;
        this.checks = checks;
        this.dispatch = dispatch;
        this.loop = loop;
        subscriptions.add(loop.effects(BatchEffect.Run.class).subscribe(this::start));
        subscriptions.add(loop.effects(BatchEffect.Cancel.class).subscribe(this::cancel));
        subscriptions.add(Observable.interval(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
                .subscribe(_tick -> poll()));
    }

    @Override
    public void close() {
        subscriptions.dispose();
        running.values().forEach(attempt -> attempt.call.cancel());
    }

    /** Cancels attempts that timed out, and reports the progress of the others to the core. */
    private void poll() {
        List<BatchEvent.Progress> progress = new ArrayList<>();
        for (Attempt attempt : running.values()) {
            attempt.cancelIfSilent();
            attempt.progress().ifPresent(progress::add);
            attempt.newEvents().ifPresent(loop::accept);
        }
        if (!progress.isEmpty()) {
            loop.accept(new BatchEvent.Progressed(progress));
        }
    }

    /**
     * Starts an attempt.
     *
     * @param run The item to run.
     */
    private void start(BatchEffect.Run run) {
        HttpUrl url = HttpUrl.parse("http://" + run.endpoint().address());
        if (url == null) {
            end(run, new AttemptOutcome.Interrupted("the engine has no valid address", true), ItemText.EMPTY);
            return;
        }
        Request.Builder request;
        try {
            request = request(run);
        } catch (IllegalArgumentException exception) {
            // Submissions are checked, so this item was accepted by an earlier release.
            String reason = "it can't be sent: " + LogText.reason(exception);
            end(run, new AttemptOutcome.Impossible(reason), ItemText.EMPTY);
            return;
        }
        Transmission transmission = new Transmission(
                () -> dispatch.maySend(run.endpoint().name(), run.item().id()));
        EndpointHttp.ConnectionUse connection =
                run.uncertain() ? EndpointHttp.ConnectionUse.NEW : EndpointHttp.ConnectionUse.KEPT;
        Call call = http.call(request, transmission, run.timeLeft(), connection);
        Attempt attempt = new Attempt(run, call, transmission);
        running.put(Key.of(run), attempt);
        call.enqueue(attempt);
    }

    /**
     * Builds the request of an attempt.
     *
     * @param run The item to run.
     * @return The request.
     * @throws IllegalArgumentException If the path, the identifier or a header of the item can't be sent.
     */
    private Request.Builder request(BatchEffect.Run run) {
        BatchItem item = run.item();
        SendableTarget.flaw(item.path()).ifPresent(flaw -> {
            throw new IllegalArgumentException(flaw);
        });
        Headers.Builder headers = new Headers.Builder();
        item.headers().forEach((name, value) -> {
            if (dialect.isForwarded(name) && !(run.id().isChecked() && dialect.isAccountHeader(name))) {
                SendableHeaders.add(headers, name, value);
            }
        });
        Request.Builder request = new Request.Builder()
                .url("http://" + run.endpoint().address() + item.path())
                .headers(headers.build())
                .post(new OneShotBody("", item.body()));
        run.id().account().ifPresent(account -> dialect.identify(request, account));
        request.header("Host", run.host());
        request.header(dialect.requestIdHeader(), item.id());
        dialect.address(request, run.endpoint().name(), run.timeLeft());
        run.priority().ifPresent(priority -> dialect.prioritize(request, priority));
        if (run.lastEventId() > 0) {
            dialect.resume(request, run.lastEventId());
        }
        return request;
    }

    /**
     * Cancels an attempt.
     *
     * @param cancel The attempt to cancel.
     */
    private void cancel(BatchEffect.Cancel cancel) {
        Attempt attempt = running.remove(new Key(cancel.id(), cancel.item(), cancel.attempt()));
        if (attempt != null) {
            attempt.cancelled = true;
            attempt.call.cancel();
        }
    }

    /**
     * Reports the outcome of an attempt to the core.
     *
     * @param run The attempt.
     * @param outcome The outcome.
     * @param text The events that were received.
     */
    private void end(BatchEffect.Run run, AttemptOutcome outcome, ItemText text) {
        running.remove(Key.of(run));
        loop.accept(new BatchEvent.AttemptEnded(run.id(), run.item().id(), run.attempt(), outcome, text));
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
         * @param run The attempt.
         * @return The key.
         */
        static Key of(BatchEffect.Run run) {
            return new Key(run.id(), run.item().id(), run.attempt());
        }
    }

    /** An attempt in progress. */
    private final class Attempt implements Callback {

        /** The item to run. */
        private final BatchEffect.Run run;

        /** The call. */
        private final Call call;

        /** Records how far the call was transmitted. */
        private final Transmission transmission;

        /** The data of the received events. */
        private final List<Bytes> events = new ArrayList<>();

        /** The version of the weights that produced each event. */
        private final List<Long> versions = new ArrayList<>();

        /** The number of events that were copied to another node. */
        private int copiedEvents;

        /** The identifier of the last event. */
        private long lastEventId;

        /** When data was last received from the engine, in nanoseconds. */
        private volatile long lastReceivedAt = System.nanoTime();

        /** When the answer started, in nanoseconds. */
        private volatile long answerStartedAt;

        /** The number of received events. */
        private volatile long receivedEvents;

        /** Whether the answer has started. */
        private volatile boolean answerStarted;

        /** Whether the call was cancelled because the engine sent no data in time. */
        private volatile boolean timedOut;

        /** Whether the call was cancelled by the core. */
        private volatile boolean cancelled;

        /**
         * Creates an attempt.
         *
         * @param run The attempt.
         * @param call The call.
         * @param transmission Records how far the call was transmitted.
         */
        Attempt(BatchEffect.Run run, Call call, Transmission transmission) {
            this.run = run;
            this.call = call;
            this.transmission = transmission;
            lastEventId = run.lastEventId();
        }

        /**
         * Returns the progress of the attempt.
         *
         * @return The progress, or empty before the answer has started.
         */
        Optional<BatchEvent.Progress> progress() {
            if (!answerStarted) {
                return Optional.empty();
            }
            Duration elapsed = Duration.ofNanos(System.nanoTime() - answerStartedAt);
            return Optional.of(
                    new BatchEvent.Progress(run.id(), run.item().id(), run.attempt(), receivedEvents, elapsed));
        }

        /**
         * Returns the events received since the last call, if the answer has reached the minimum age for copies.
         *
         * @return The events, or empty if there are none.
         */
        synchronized Optional<BatchEvent.TextGrown> newEvents() {
            if (!answerStarted
                    || System.nanoTime() - answerStartedAt < MINIMUM_COPY_AGE.toNanos()
                    || copiedEvents == events.size()) {
                return Optional.empty();
            }
            long after = run.lastEventId() + copiedEvents;
            ItemText part = eventsFrom(copiedEvents);
            copiedEvents = events.size();
            return Optional.of(new BatchEvent.TextGrown(run.id(), run.item().id(), run.attempt(), after, part));
        }

        /**
         * Returns the received events from a position on.
         *
         * @param position The number of events before them.
         * @return The events with the versions that produced them.
         */
        private ItemText eventsFrom(int position) {
            TreeSet<Long> distinctVersions = new TreeSet<>(versions.subList(position, versions.size()));
            return new ItemText(lastEventId, events.subList(position, events.size()), List.copyOf(distinctVersions));
        }

        /** Cancels the call if the engine sent no data within the timeout. */
        void cancelIfSilent() {
            Duration timeout = answerStarted ? EVENT_TIMEOUT : HEAD_TIMEOUT;
            if (System.nanoTime() - lastReceivedAt > timeout.toNanos()) {
                timedOut = true;
                call.cancel();
            }
        }

        @Override
        public void onFailure(Call _call, IOException exception) {
            if (transmission.isWithheld()) {
                end(run, new AttemptOutcome.Withheld("not sent, the engine may have left"), ItemText.EMPTY);
                return;
            }
            endInterrupted(exception);
        }

        @Override
        public void onResponse(Call _call, Response response) {
            lastReceivedAt = System.nanoTime();
            answerStartedAt = lastReceivedAt;
            answerStarted = true;
            // The answer is closed last: the library reads on for a while unless its call is cancelled before.
            try (response) {
                process(response);
            }
        }

        /**
         * Reads an answer.
         *
         * @param response The answer.
         */
        private void process(Response response) {
            try {
                Optional<AttemptOutcome> refusal = refusal(response);
                if (refusal.isPresent()) {
                    end(run, refusal.get(), ItemText.EMPTY);
                    return;
                }
                read(response);
                end(run, new AttemptOutcome.Completed(), text());
            } catch (IOException | RuntimeException exception) {
                call.cancel();
                transmission.closeConnection();
                endInterrupted(exception);
            }
        }

        /**
         * Checks whether an answer is not a stream of this item.
         *
         * @param response The answer.
         * @return The outcome of the attempt, or empty if the answer is the item's stream.
         * @throws IOException If the answer can't be trusted.
         */
        private Optional<AttemptOutcome> refusal(Response response) throws IOException {
            int status = response.code();
            if (!dialect.belongsTo(response.headers(), run.item().id())) {
                throw new IOException("status " + status + " with identifiers "
                        + dialect.describeIdentifiers(response.headers()) + " does not belong to the item");
            }
            if (dialect.isNotRun(status, response.headers()) || dialect.isMisdirected(status)) {
                return Optional.of(new AttemptOutcome.Refused("status " + status));
            }
            if (dialect.isImpossible(status)) {
                return Optional.of(new AttemptOutcome.Impossible("the engine reported that the item can never run"));
            }
            if (status == INTERNAL_SERVER_ERROR) {
                return Optional.of(new AttemptOutcome.Failed());
            }
            if (status != OK || !dialect.isSigned(response.headers())) {
                throw new IOException("status " + status + " is not a stream of this item");
            }
            return Optional.empty();
        }

        /**
         * Reads the events.
         *
         * @param response The answer.
         * @throws IOException If the stream is interrupted or an event is missing.
         */
        private void read(Response response) throws IOException {
            OptionalLong version = dialect.version(response.headers());
            version.ifPresent(first -> loop.accept(
                    new BatchEvent.AttemptStarted(run.id(), run.item().id(), run.attempt(), first)));
            ServerSentEvents stream = new ServerSentEvents(response.body().source(), dialect);
            Optional<ServerSentEvents.Event> event = stream.next();
            while (event.isPresent()) {
                lastReceivedAt = System.nanoTime();
                version = event.get().version().isPresent() ? event.get().version() : version;
                append(event.get(), version);
                event = stream.next();
            }
        }

        /**
         * Appends an event.
         *
         * @param event The event.
         * @param version The version that produced it.
         * @throws IOException If it is not the next event, or its version is unknown.
         */
        private synchronized void append(ServerSentEvents.Event event, OptionalLong version) throws IOException {
            if (event.id().orElse(-1) != lastEventId + 1) {
                throw new IOException("event " + event.id() + " follows event " + lastEventId);
            }
            if (version.isEmpty()) {
                throw new IOException("the stream states no version of the weights");
            }
            lastEventId++;
            receivedEvents = lastEventId - run.lastEventId();
            events.add(Bytes.wrap(event.data().toByteArray()));
            versions.add(version.getAsLong());
        }

        /**
         * Reports to the core that the attempt was interrupted.
         *
         * @param exception The failure.
         */
        private void endInterrupted(Exception exception) {
            String reason = exception.getClass().getSimpleName() + " " + exception.getMessage();
            String description = (timedOut ? "no data within the timeout" : reason) + " " + transmission.describe();
            boolean unreachable = !transmission.begun();
            Loss loss = unreachable || exception instanceof MalformedAnswerException
                    ? Loss.UNUSABLE
                    : checks.judge(
                            run.endpoint().name(), run.endpoint().address(), transmission, cancelled || timedOut);
            end(run, new AttemptOutcome.Interrupted(description, unreachable, loss), text());
        }

        /**
         * Returns the received events.
         *
         * @return The text.
         */
        private synchronized ItemText text() {
            return eventsFrom(0);
        }
    }
}
