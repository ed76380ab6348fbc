package io.yuccaswitch.testkit.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import io.javalin.http.Context;
import io.yuccaswitch.testkit.check.Observation.EndpointRun;
import io.yuccaswitch.testkit.check.RunLog;
import io.yuccaswitch.testkit.http.Answer;
import io.yuccaswitch.testkit.http.Fault;
import io.yuccaswitch.testkit.http.Faults;
import io.yuccaswitch.testkit.http.Json;
import io.yuccaswitch.testkit.http.StandInServer;
import io.yuccaswitch.testkit.service.RequestLedger.Entry;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** A stand-in for a plain service. Its protocol is described in docs/API.md. */
public final class ServiceStandIn implements AutoCloseable {

    /** The status of an answer. */
    private static final int OK = 200;

    /** The status of a path that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a request that the service promised not to run. */
    private static final int CONFLICT = 409;

    /** The status of a refusal. */
    private static final int UNAVAILABLE = 503;

    /** The options. */
    private final ServiceOptions options;

    /** The outcomes of the requests. */
    private final RequestLedger ledger = new RequestLedger();

    /** The log in which runs are recorded. */
    private final RunLog runLog;

    /** The permits for concurrent runs. */
    private final Semaphore permits;

    /** The server. */
    private final StandInServer server;

    /**
     * Creates and starts a service.
     *
     * @param options The options.
     */
    public ServiceStandIn(ServiceOptions options) {
        this.options = options;
        runLog = RunLog.to(options.name, options.observations);
        permits = new Semaphore(options.capacity);
        server = new StandInServer(options.port, this::addRoutes);
    }

    /**
     * Returns the server of this service.
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
     * Returns the number of runs of each request.
     *
     * @return The number of runs by request id.
     */
    public Map<String, Integer> runs() {
        return ledger.runs();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.close();
    }

    /**
     * Adds the routes.
     *
     * @param routes The routes to fill.
     */
    private void addRoutes(StandInServer.Routes routes) {
        routes.get("/records", _context -> runs());
        routes.report("/load", _context -> load());
        routes.any("/<path>", this::serve);
    }

    /**
     * Serves a request.
     *
     * @param context The request.
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    private void serve(Context context, Answer answer) throws IOException, InterruptedException {
        if (context.path().startsWith("/requests/")) {
            settle(context, answer);
            return;
        }
        if (faults().take(Fault.RESETS_BEFORE_RUN)) {
            answer.closeConnection();
            return;
        }
        if (faults().on(Fault.LEAVING) || faults().take(Fault.REFUSALS)) {
            runLog.recordRefusal(Answer.requestId(context));
            answer.refuse(UNAVAILABLE, faults().on(Fault.LEAVING) ? "leaving" : "refused");
            return;
        }
        String requestId = Answer.requestId(context);
        if (!ledger.begin(requestId)) {
            answer.refuse(CONFLICT, "settled-not-run");
            return;
        }
        EndpointRun startedRun = runLog.recordStart(requestId, List.of());
        String body = run(context, requestId);
        ledger.finish(requestId, body);
        runLog.recordEnd(startedRun, true, List.of());
        if (faults().take(Fault.RESETS_AFTER_RUN)) {
            answer.closeConnection();
            return;
        }
        faults().pause();
        answer.complete(OK, Answer.JSON, body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Runs a request.
     *
     * @param context The request.
     * @param requestId The identifier of the request.
     * @return The body of the answer.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    private String run(Context context, String requestId) throws InterruptedException {
        permits.acquire();
        try {
            TimeUnit.MILLISECONDS.sleep(options.serviceMillis);
            ObjectNode body = Json.object()
                    .put("requestId", requestId)
                    .put("method", context.method().name())
                    .put("path", context.path())
                    .put("bodyHash", hash(context.bodyAsBytes()))
                    .put("runs", ledger.runs().getOrDefault(requestId, 0));
            return Json.write(body);
        } finally {
            permits.release();
        }
    }

    /**
     * Reports the outcome of a request.
     *
     * @param context The request.
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    private void settle(Context context, Answer answer) throws IOException, InterruptedException {
        faults().pause();
        if (!options.settlesRequests) {
            answer.refuse(NOT_FOUND, "not-found");
            return;
        }
        String encoded = context.path().substring("/requests/".length()).replace("+", "%2B");
        String requestId = URLDecoder.decode(encoded, StandardCharsets.UTF_8);
        Entry entry = ledger.settle(requestId);
        ObjectNode body = Json.object().put("requestId", requestId).put("state", entry.state());
        entry.body()
                .ifPresent(text ->
                        body.put("status", OK).put("contentType", Answer.JSON).put("body", text));
        answer.json(OK, body);
    }

    /**
     * Creates a load report.
     *
     * @return The report.
     */
    private ObjectNode load() {
        ObjectNode body = Json.object()
                .put("incarnation", server.incarnation())
                .put("active", options.capacity - permits.availablePermits())
                .put("waiting", permits.getQueueLength())
                .put("capacity", options.capacity)
                .put("cacheUse", 0.0)
                .put("leaving", faults().on(Fault.LEAVING));
        body.putObject("loadedVersions");
        return body;
    }

    /**
     * Computes the hash of a body.
     *
     * @param bytes The body.
     * @return The FarmHash fingerprint in hexadecimal digits.
     */
    private static String hash(byte[] bytes) {
        return Hashing.farmHashFingerprint64().hashBytes(bytes).toString();
    }
}
