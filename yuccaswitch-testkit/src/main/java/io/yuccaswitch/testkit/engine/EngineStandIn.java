package io.yuccaswitch.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.Observation.EndpointRun;
import io.yuccaswitch.testkit.check.RunLog;
import io.yuccaswitch.testkit.engine.LoadHistory.Load;
import io.yuccaswitch.testkit.engine.PrefixCache.CacheEvent;
import io.yuccaswitch.testkit.http.Answer;
import io.yuccaswitch.testkit.http.Fault;
import io.yuccaswitch.testkit.http.Faults;
import io.yuccaswitch.testkit.http.Json;
import io.yuccaswitch.testkit.http.StandInServer;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in for a model engine. Its protocol is described in docs/API.md. */
public final class EngineStandIn implements AutoCloseable {

    /** The status of a request for a model that is not loaded. */
    private static final int NOT_FOUND = 404;

    /** The status of a refusal. */
    private static final int UNAVAILABLE = 503;

    /** The status of success. */
    private static final int OK = 200;

    /** The prefix of the opaque tokens that identify an exported KV cache. */
    private static final String KV_TOKEN_PREFIX = "kv-";

    /** The options. */
    private final EngineOptions options;

    /** The log in which runs are recorded. */
    private final RunLog runLog;

    /** The loaded weight versions. */
    private final LoadedModels models;

    /** The distribution of output lengths. */
    private final LengthDistribution lengths;

    /** The cache of prompt prefixes. */
    private final PrefixCache cache;

    /** The batch. */
    private final Batch batch;

    /** The handler of orders. */
    private final Orders orders;

    /** The delayed load reports. */
    private final LoadHistory loads;

    /** The number of received requests. */
    private final AtomicLong arrivals = new AtomicLong();

    /** The server. */
    private final StandInServer server;

    /**
     * Creates and starts an engine.
     *
     * @param options The options.
     */
    public EngineStandIn(EngineOptions options) {
        this.options = options;
        runLog = RunLog.to(options.name, options.observations);
        models = new LoadedModels(options.models);
        lengths = new LengthDistribution(options.seed, options.medianTokens, options.stragglerShare);
        cache = new PrefixCache(options);
        orders = new Orders(options, models, this::faults);
        server = new StandInServer(options.port, this::addRoutes);
        batch = new Batch(options, models, this::faults);
        loads = new LoadHistory(options.reportLagMillis, this::load);
    }

    /**
     * Returns the server of this engine.
     *
     * @return The server.
     */
    public StandInServer server() {
        return server;
    }

    /**
     * Returns the injected faults.
     *
     * @return The injected faults.
     */
    public Faults faults() {
        return server.faults();
    }

    /**
     * Returns the records of the work that this engine actually did.
     *
     * @return The records, oldest first.
     */
    public List<RunRecord> records() {
        return batch.records();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.close();
        batch.close();
        loads.close();
    }

    /**
     * Adds the routes.
     *
     * @param routes The routes to fill.
     */
    private void addRoutes(StandInServer.Routes routes) {
        routes.post("/v1/completions", (context, answer) -> complete(context, answer, false));
        routes.post("/v1/chat/completions", (context, answer) -> complete(context, answer, true));
        routes.delete("/v1/requests/{id}", this::cancel);
        routes.post("/v1/kv/export", this::exportCache);
        routes.post("/orders", orders::serve);
        routes.report("/load", _context -> loadReport());
        routes.report("/cache-events", this::cacheEvents);
        routes.get("/records", _context -> records());
        routes.get("/order-records", _context -> orders.records());
    }

    /**
     * Serves a completion request.
     *
     * @param context The request.
     * @param answer The answer to write.
     * @param chat Whether it is a chat completion.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    private void complete(Context context, Answer answer, boolean chat) throws IOException, InterruptedException {
        faults().pause();
        if (faults().take(Fault.RESETS_BEFORE_RUN)) {
            answer.closeConnection();
            return;
        }
        JsonNode body = Json.parse(context.bodyAsBytes());
        String model = body.path("model").asText(models.defaultModel());
        Optional<String> refusal = refusal(model);
        if (refusal.isPresent()) {
            runLog.recordRefusal(Answer.requestId(context));
            answer.refuse(refusal.get().equals("model-not-found") ? NOT_FOUND : UNAVAILABLE, refusal.get());
            return;
        }
        Run run = run(context, body, model);
        if (!batch.add(run)) {
            answer.refuse(UNAVAILABLE, "overloaded");
            return;
        }
        EndpointRun startedRun = runLog.recordStart(run.requestId(), observedSegments(run));
        try {
            answer(body, run, answer, chat);
        } finally {
            runLog.recordEnd(startedRun, run.record().completed(), observedSegments(run));
        }
    }

    /**
     * Returns the weight versions that a run actually used.
     *
     * @param run The run.
     * @return The versions with their token counts, or the version in use with zero tokens if none was generated.
     */
    private List<Observation.Segment> observedSegments(Run run) {
        List<Observation.Segment> segments = run.segments().stream()
                .map(segment -> new Observation.Segment(segment.version(), segment.tokens()))
                .toList();
        return segments.isEmpty()
                ? models.version(run.model()).stream()
                        .map(version -> new Observation.Segment(version, 0))
                        .toList()
                : segments;
    }

    /**
     * Answers a request whose run has started.
     *
     * @param body The body of the request.
     * @param run The run.
     * @param answer The answer to write.
     * @param chat Whether it is a chat completion.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    private void answer(JsonNode body, Run run, Answer answer, boolean chat) throws IOException, InterruptedException {
        if (faults().take(Fault.RESETS_AFTER_RUN)) {
            answer.closeConnection();
            return;
        }
        boolean reported = !faults().on(Fault.UNREPORTED_VERSIONS);
        Completion completion = new Completion(run, chat, reported, isLengthLimited(body, run) ? "length" : "stop");
        try {
            if (Completion.streaming(body)) {
                completion.stream(answer);
            } else {
                completion.writeComplete(answer);
            }
        } catch (IOException exception) {
            run.cancel();
            throw exception;
        }
    }

    /**
     * Returns the reason for which a request is refused, if any.
     *
     * @param model The requested model.
     * @return The error code, or empty if the request is accepted.
     */
    private Optional<String> refusal(String model) {
        if (faults().on(Fault.LEAVING)) {
            return Optional.of("leaving");
        }
        if (faults().take(Fault.REFUSALS)) {
            return Optional.of("refused");
        }
        return models.version(model).isEmpty() ? Optional.of("model-not-found") : Optional.empty();
    }

    /**
     * Creates the run of a request.
     *
     * @param context The request.
     * @param body Its body.
     * @param model The model.
     * @return The run.
     */
    private Run run(Context context, JsonNode body, String model) {
        Prompt prompt = Prompt.of(body);
        int cached = cache.use(prompt);
        int resumed = body.path("resumeTokens").asInt(0);
        boolean imported = body.path("kv").asText().startsWith(KV_TOKEN_PREFIX);
        int uncached = imported ? 0 : Math.max(0, prompt.tokens() - cached) + resumed;
        int drawnTokens = lengths.tokens(prompt.hash(), body.path("seed").asLong(0));
        int total =
                Math.max(resumed, Math.min(drawnTokens, body.path("max_tokens").asInt(Integer.MAX_VALUE)));
        return new Run(
                Answer.requestId(context),
                model,
                prompt,
                priority(context.header("X-Priority")),
                arrivals.incrementAndGet(),
                resumed,
                total,
                uncached / options.prefillTokens);
    }

    /**
     * Returns whether the request limits the length of the text.
     *
     * @param body The body of the request.
     * @param run The run.
     * @return {@code true} if the text ends before its drawn length.
     */
    private boolean isLengthLimited(JsonNode body, Run run) {
        int drawnTokens = lengths.tokens(run.prompt().hash(), body.path("seed").asLong(0));
        return drawnTokens > body.path("max_tokens").asInt(Integer.MAX_VALUE);
    }

    /**
     * Parses a priority.
     *
     * @param header The header, or {@code null}.
     * @return The priority, where smaller numbers are served first.
     */
    private static int priority(String header) {
        if ("urgent".equals(header)) {
            return 0;
        }
        return "batch".equals(header) ? 2 : 1;
    }

    /**
     * Cancels a run.
     *
     * @param context The request.
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     */
    private void cancel(Context context, Answer answer) throws IOException {
        Optional<Run> run = batch.find(context.pathParam("id"));
        run.ifPresent(Run::cancel);
        answer.json(OK, Json.object().put("cancelled", run.isPresent()));
    }

    /**
     * Exports the KV cache of a run as an opaque token.
     *
     * @param context The request.
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     */
    private void exportCache(Context context, Answer answer) throws IOException {
        String id = Json.parse(context.bodyAsBytes()).path("requestId").asText();
        Optional<Run> run = batch.find(id);
        if (run.isEmpty()) {
            answer.refuse(NOT_FOUND, "request-not-found");
            return;
        }
        answer.json(
                OK, Json.object().put("kv", KV_TOKEN_PREFIX + run.get().prompt().hash()));
    }

    /**
     * Returns the current load.
     *
     * @return The load, without the delay of reports.
     */
    private Load load() {
        return new Load(
                batch.activeCount(),
                batch.waitingCount(),
                cache.use(),
                models.claimed(),
                faults().on(Fault.LEAVING),
                System.nanoTime());
    }

    /**
     * Creates a load report.
     *
     * @return The report.
     */
    private ObjectNode loadReport() {
        Load load = loads.report();
        ObjectNode body = Json.object()
                .put("incarnation", server.incarnation())
                .put("active", load.active())
                .put("waiting", load.waiting())
                .put("capacity", options.capacity)
                .put("cacheUse", load.cacheUse())
                .put("leaving", load.leaving());
        ObjectNode versions = body.putObject("loadedVersions");
        load.loadedVersions().forEach(versions::put);
        return body;
    }

    /**
     * Reads the events of the prefix cache.
     *
     * @param context The request.
     * @return The events after the last one that the reader has received.
     */
    private ObjectNode cacheEvents(Context context) {
        String after = context.queryParam("after");
        List<CacheEvent> events = cache.eventsAfter(after == null ? 0 : Long.parseLong(after));
        ObjectNode body = Json.object().put("incarnation", server.incarnation());
        ArrayNode list = body.putArray("events");
        events.forEach(event -> list.addObject()
                .put("sequence", event.sequence())
                .put("prefixHash", event.prefixHash())
                .put("cached", event.cached()));
        return body;
    }
}
