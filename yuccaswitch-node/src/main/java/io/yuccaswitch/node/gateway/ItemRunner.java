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
import io.yuccaswitch.endpoint.Transmission;
import io.yuccaswitch.node.decision.DecisionLoop;
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
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.Response;

/** Runs the items of batch jobs at engines, and tells the core what became of each attempt. */
final class ItemRunner implements AutoCloseable {

    /** How long an engine may be silent before its answer begins, as the item may wait there. */
    private static final Duration HEAD_SILENCE = Duration.ofSeconds(3);

    /** How long an engine may be silent between events. The loading of a version takes about half of it. */
    private static final Duration EVENT_SILENCE = Duration.ofMillis(2200);

    /** The interval at which silence is looked for. */
    private static final Duration LOOK_INTERVAL = Duration.ofMillis(250);

    /**
     * How long an attempt must have lasted before its text is copied to another node. Most items are whole by then, and
     * cost less to make again than to copy.
     */
    private static final Duration COPIED_AGE = Duration.ofSeconds(1);

    /** The status of success. */
    private static final int OK = 200;

    /** The status of an engine that failed. */
    private static final int FAILED = 500;

    /** The connections to engines. */
    private final EndpointHttp http;

    /** How engines speak. */
    private final EndpointDialect dialect;

    /** Finds out whether engines have ended. */
    private final EndpointChecks checks;

    /** Looks at engines again before items are written. */
    private final DispatchCheck dispatch;

    /** The core. */
    private final DecisionLoop loop;

    /** The attempts in progress. */
    private final Map<Key, Running> running = new ConcurrentHashMap<>();

    /** The subscriptions. */
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a runner and connects it to the core.
     *
     * @param http The connections to engines.
     * @param dialect How engines speak.
     * @param checks Finds out whether engines have ended.
     * @param dispatch Looks at engines again before items are written.
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
        subscriptions.add(Observable.interval(LOOK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
                .subscribe(_tick -> look()));
    }

    @Override
    public void close() {
        subscriptions.dispose();
        running.values().forEach(attempt -> attempt.call.cancel());
    }

    /** Breaks silent attempts off, and tells the core how far the others are. */
    private void look() {
        List<BatchEvent.Progress> progress = new ArrayList<>();
        for (Running attempt : running.values()) {
            attempt.endSilence();
            attempt.progress().ifPresent(progress::add);
            attempt.grown().ifPresent(loop::accept);
        }
        if (!progress.isEmpty()) {
            loop.accept(new BatchEvent.Progressed(progress));
        }
    }

    /**
     * Starts an attempt.
     *
     * @param run What to run.
     */
    private void start(BatchEffect.Run run) {
        BatchItem item = run.item();
        HttpUrl url = HttpUrl.parse("http://" + run.endpoint().address() + item.path());
        if (url == null) {
            end(run, new AttemptOutcome.Impossible(), ItemText.EMPTY);
            return;
        }
        Request.Builder request = new Request.Builder().url(url).post(new OneShotBody("", item.body()));
        item.headers().forEach((name, value) -> {
            if (dialect.passesOn(name) && !(run.id().isChecked() && dialect.concernsAccount(name))) {
                request.header(name, value);
            }
        });
        run.id().account().ifPresent(account -> dialect.identify(request, account));
        request.header("Host", run.host());
        request.header(dialect.requestIdHeader(), item.id());
        dialect.address(request, run.endpoint().name(), run.timeLeft());
        if (run.lastEventId() > 0) {
            dialect.resume(request, run.lastEventId());
        }
        Transmission transmission =
                new Transmission(() -> dispatch.maySend(run.endpoint().name(), item.id()));
        EndpointHttp.ConnectionUse connection =
                run.inDoubt() ? EndpointHttp.ConnectionUse.NEW : EndpointHttp.ConnectionUse.KEPT;
        Call call = http.call(request, transmission, run.timeLeft(), connection);
        Running attempt = new Running(run, call, transmission);
        running.put(Key.of(run), attempt);
        call.enqueue(attempt);
    }

    /**
     * Breaks an attempt off.
     *
     * @param cancel The attempt.
     */
    private void cancel(BatchEffect.Cancel cancel) {
        Running attempt = running.remove(new Key(cancel.id(), cancel.item(), cancel.attempt()));
        if (attempt != null) {
            attempt.brokenOff = true;
            attempt.call.cancel();
        }
    }

    /**
     * Tells the core what became of an attempt.
     *
     * @param run What was run.
     * @param outcome What became of it.
     * @param text The events that arrived.
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
         * @param run What is run.
         * @return The key.
         */
        static Key of(BatchEffect.Run run) {
            return new Key(run.id(), run.item().id(), run.attempt());
        }
    }

    /** An attempt in progress. */
    private final class Running implements Callback {

        /** What is run. */
        private final BatchEffect.Run run;

        /** The call. */
        private final Call call;

        /** The watcher of the call. */
        private final Transmission transmission;

        /** The data of the events that arrived. */
        private final List<Bytes> events = new ArrayList<>();

        /** The version under which each event was made. */
        private final List<Long> versions = new ArrayList<>();

        /** The number of events that were copied to another node. */
        private int copied;

        /** The identifier of the last event. */
        private long lastEventId;

        /** When the engine was last heard, in nanoseconds. */
        private volatile long heardAt = System.nanoTime();

        /** When the answer began, in nanoseconds. */
        private volatile long begunAt;

        /** The number of events that have arrived. */
        private volatile long received;

        /** Whether the answer has begun. */
        private volatile boolean begun;

        /** Whether the call was broken off because the engine was silent. */
        private volatile boolean silent;

        /** Whether the call was broken off because the core wanted so. */
        private volatile boolean brokenOff;

        /**
         * Creates an attempt.
         *
         * @param run What is run.
         * @param call The call.
         * @param transmission The watcher of the call.
         */
        Running(BatchEffect.Run run, Call call, Transmission transmission) {
            this.run = run;
            this.call = call;
            this.transmission = transmission;
            lastEventId = run.lastEventId();
        }

        /**
         * Returns how far the attempt is.
         *
         * @return The progress, or empty before the answer has begun.
         */
        Optional<BatchEvent.Progress> progress() {
            if (!begun) {
                return Optional.empty();
            }
            Duration since = Duration.ofNanos(System.nanoTime() - begunAt);
            return Optional.of(new BatchEvent.Progress(run.id(), run.item().id(), run.attempt(), received, since));
        }

        /**
         * Returns the events that have arrived since the last time, of an attempt that has lasted for long.
         *
         * @return The events, or empty if there are none.
         */
        synchronized Optional<BatchEvent.TextGrown> grown() {
            if (!begun || System.nanoTime() - begunAt < COPIED_AGE.toNanos() || copied == events.size()) {
                return Optional.empty();
            }
            long after = run.lastEventId() + copied;
            ItemText part = part(copied);
            copied = events.size();
            return Optional.of(new BatchEvent.TextGrown(run.id(), run.item().id(), run.attempt(), after, part));
        }

        /**
         * Returns the events from a position on.
         *
         * @param from The number of events before them.
         * @return The events with the versions under which they were made.
         */
        private ItemText part(int from) {
            TreeSet<Long> under = new TreeSet<>(versions.subList(from, versions.size()));
            return new ItemText(lastEventId, events.subList(from, events.size()), List.copyOf(under));
        }

        /** Breaks the call off if the engine has been silent for too long. */
        void endSilence() {
            Duration allowed = begun ? EVENT_SILENCE : HEAD_SILENCE;
            if (System.nanoTime() - heardAt > allowed.toNanos()) {
                silent = true;
                call.cancel();
            }
        }

        @Override
        public void onFailure(Call _call, IOException exception) {
            if (transmission.isWithheld()) {
                end(run, new AttemptOutcome.Withheld("not sent, the engine may have left"), ItemText.EMPTY);
                return;
            }
            interrupted(EndpointAttempts.describe(exception));
        }

        @Override
        public void onResponse(Call _call, Response response) {
            heardAt = System.nanoTime();
            begunAt = heardAt;
            begun = true;
            try (response) {
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
                interrupted(exception.getClass().getSimpleName() + " " + exception.getMessage());
            }
        }

        /**
         * Recognises an answer that is no stream of this item.
         *
         * @param response The answer.
         * @return What became of the attempt, or empty if the answer is the item's stream.
         * @throws IOException If the answer can't be trusted.
         */
        private Optional<AttemptOutcome> refusal(Response response) throws IOException {
            String echoed = response.header(dialect.requestIdHeader());
            if (echoed != null && !echoed.equals(run.item().id())) {
                throw new IOException("the answer belongs to another request");
            }
            int status = response.code();
            if (dialect.saysNotRun(status, response.headers()) || dialect.isMisdirected(status)) {
                return Optional.of(new AttemptOutcome.Refused("status " + status));
            }
            if (dialect.isImpossible(status)) {
                return Optional.of(new AttemptOutcome.Impossible());
            }
            if (status == FAILED) {
                return Optional.of(new AttemptOutcome.Failed());
            }
            if (status != OK || echoed == null || !dialect.isSigned(response.headers())) {
                throw new IOException("status " + status + " is no stream of this item");
            }
            return Optional.empty();
        }

        /**
         * Reads the events.
         *
         * @param response The answer.
         * @throws IOException If the stream breaks off or an event is missing.
         */
        private void read(Response response) throws IOException {
            OptionalLong version = dialect.version(response.headers());
            version.ifPresent(told ->
                    loop.accept(new BatchEvent.AttemptBegun(run.id(), run.item().id(), run.attempt(), told)));
            ServerSentEvents stream = new ServerSentEvents(response.body().source(), dialect);
            Optional<ServerSentEvents.Event> event = stream.next();
            while (event.isPresent()) {
                heardAt = System.nanoTime();
                version = event.get().version().isPresent() ? event.get().version() : version;
                take(event.get(), version);
                event = stream.next();
            }
        }

        /**
         * Takes an event.
         *
         * @param event The event.
         * @param version The version under which it was made.
         * @throws IOException If it is not the next one, or bears no version.
         */
        private synchronized void take(ServerSentEvents.Event event, OptionalLong version) throws IOException {
            if (event.id().orElse(-1) != lastEventId + 1) {
                throw new IOException("event " + event.id() + " follows event " + lastEventId);
            }
            if (version.isEmpty()) {
                throw new IOException("the stream names no version");
            }
            lastEventId++;
            received = lastEventId - run.lastEventId();
            events.add(Bytes.wrap(event.data().toByteArray()));
            versions.add(version.getAsLong());
        }

        /**
         * Tells the core that the attempt broke off.
         *
         * @param reason The reason.
         */
        private void interrupted(String reason) {
            String told = (silent ? "silent for too long" : reason) + " " + transmission.describe();
            boolean unreachable = !transmission.begun();
            Loss loss = unreachable
                    ? Loss.UNUSABLE
                    : checks.judge(run.endpoint().name(), run.endpoint().address(), transmission, brokenOff || silent);
            end(run, new AttemptOutcome.Interrupted(told, unreachable, loss), text());
        }

        /**
         * Returns the events that arrived.
         *
         * @return The text.
         */
        private synchronized ItemText text() {
            return part(0);
        }
    }
}
