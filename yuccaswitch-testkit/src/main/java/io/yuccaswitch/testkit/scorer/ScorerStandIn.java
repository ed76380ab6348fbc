package io.yuccaswitch.testkit.scorer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import io.javalin.http.Context;
import io.yuccaswitch.testkit.http.Answer;
import io.yuccaswitch.testkit.http.Fault;
import io.yuccaswitch.testkit.http.Faults;
import io.yuccaswitch.testkit.http.Json;
import io.yuccaswitch.testkit.http.StandInServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for a service that scores samples. Its protocol is described in docs/API.md. */
public final class ScorerStandIn implements AutoCloseable {

    /** The status of an answer. */
    private static final int OK = 200;

    /** The status of a refusal. */
    private static final int UNAVAILABLE = 503;

    /** The number of different scores. */
    private static final int DISTINCT_SCORES = 1_000;

    /** The options. */
    private final ScorerOptions options;

    /** The number of runs by sample. */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /** The number of calls in progress. */
    private final AtomicInteger active = new AtomicInteger();

    /** The server. */
    private final StandInServer server;

    /**
     * Creates and starts a scorer.
     *
     * @param options The options.
     */
    public ScorerStandIn(ScorerOptions options) {
        this.options = options;
        server = new StandInServer(options.port, this::addRoutes);
    }

    /**
     * Returns the server of this scorer.
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
     * Returns the number of times that each sample was scored.
     *
     * @return The number of runs by {@code trainer/step/group/index}.
     */
    public Map<String, Integer> runs() {
        return Map.copyOf(runs);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.close();
    }

    /**
     * Computes the score of a text, for independent checks.
     *
     * @param text The text.
     * @return The score, from zero to one.
     */
    public static double scoreOf(String text) {
        long hash = Hashing.farmHashFingerprint64()
                .hashString(text, StandardCharsets.UTF_8)
                .asLong();
        return Math.floorMod(hash, DISTINCT_SCORES) / (double) DISTINCT_SCORES;
    }

    /**
     * Adds the routes.
     *
     * @param routes The routes to fill.
     */
    private void addRoutes(StandInServer.Routes routes) {
        routes.post("/score", this::score);
        routes.report("/load", _context -> load());
        routes.get("/records", _context -> records());
    }

    /**
     * Scores a sample.
     *
     * @param context The request.
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    private void score(Context context, Answer answer) throws IOException, InterruptedException {
        if (faults().take(Fault.RESETS_BEFORE_RUN)) {
            answer.closeConnection();
            return;
        }
        if (faults().on(Fault.LEAVING) || faults().take(Fault.REFUSALS)) {
            answer.refuse(UNAVAILABLE, faults().on(Fault.LEAVING) ? "leaving" : "refused");
            return;
        }
        JsonNode body = Json.parse(context.bodyAsBytes());
        runs.merge(sampleId(body), 1, Integer::sum);
        active.incrementAndGet();
        try {
            TimeUnit.MILLISECONDS.sleep(options.scoreMillis);
            faults().pause();
        } finally {
            active.decrementAndGet();
        }
        if (faults().take(Fault.RESETS_AFTER_RUN)) {
            answer.closeConnection();
            return;
        }
        answer.json(OK, Json.object().put("score", scoreOf(body.path("text").asText())));
    }

    /**
     * Returns the identifier of a sample.
     *
     * @param body The body of the request.
     * @return The identifier as {@code trainer/step/group/index}.
     */
    private static String sampleId(JsonNode body) {
        return String.join(
                "/",
                body.path("trainer").asText(),
                body.path("step").asText(),
                body.path("group").asText(),
                body.path("index").asText());
    }

    /**
     * Creates a load report.
     *
     * @return The report.
     */
    private ObjectNode load() {
        ObjectNode body = Json.object()
                .put("incarnation", server.incarnation())
                .put("active", active.get())
                .put("waiting", 0)
                .put("capacity", 0)
                .put("cacheUse", 0.0)
                .put("leaving", faults().on(Fault.LEAVING));
        body.putObject("loadedVersions");
        return body;
    }

    /**
     * Creates the record of the scored samples.
     *
     * @return The number of runs by sample, and the number of samples that were scored more than once although that is
     *     forbidden.
     */
    private ObjectNode records() {
        ObjectNode body = Json.object();
        long repeated = runs.values().stream().filter(count -> count > 1).count();
        body.put("breaches", options.repeatForbidden ? repeated : 0);
        ObjectNode counts = body.putObject("runs");
        runs.forEach(counts::put);
        return body;
    }
}
