package io.yuccaswitch.node.operator;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import com.google.common.hash.Hashing;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.node.HostAndPort;
import io.yuccaswitch.node.decision.DecisionLog;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.logging.LogConfiguration;
import io.yuccaswitch.node.shutdown.GracefulShutdown;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP interface for operators. */
public final class OperatorServer implements AutoCloseable {

    /** The seconds after which an inspection of the decision loop fails. */
    private static final long INSPECTION_TIMEOUT_SECONDS = 5;

    /** The maximum number of threads of the server. */
    private static final int MAXIMUM_THREADS = 8;

    /** The minimum number of threads of the server. */
    private static final int MINIMUM_THREADS = 2;

    /** The path of the liveness check, which needs no credentials. */
    private static final String HEALTH_PATH = "/healthz";

    /** The path of the readiness check, which needs no credentials. */
    private static final String READINESS_PATH = "/readyz";

    /** The prefix of a bearer token in its header. */
    private static final String BEARER_PREFIX = "Bearer ";

    /** The writer of documents. */
    private final ObjectMapper mapper = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .registerModule(new JavaTimeModule())
            .addMixIn(io.yuccaswitch.core.value.Bytes.class, BytesMixIn.class);

    /** The loop of the decision core, whose tables are shown. */
    private final DecisionLoop loop;

    /** The log of decisions. */
    private final DecisionLog decisions;

    /** The sections of the status document. */
    private final List<StatusSection> sections;

    /** The routes of the quarantine. */
    private final QuarantineRoutes quarantine;

    /** The graceful shutdown. */
    private final GracefulShutdown shutdown;

    /** Runs when an operator requests a graceful shutdown. */
    private final Runnable onDrain;

    /** Whether the node is ready to serve callers. */
    private final BooleanSupplier ready;

    /** The token that operators present. */
    private final Optional<String> token;

    /** The metrics in the Prometheus format. */
    private final PrometheusRegistry metrics = new PrometheusRegistry();

    /** The server. */
    private final Javalin server;

    /**
     * Creates a new server that does not listen yet.
     *
     * @param loop The loop of the decision core, whose tables are shown.
     * @param decisions The log of decisions.
     * @param sections The sections of the status document.
     * @param shutdown The graceful shutdown.
     * @param onDrain Runs when an operator requests a graceful shutdown, and must not block.
     * @param ready Whether the node is ready to serve callers.
     * @param registry The metrics of the node.
     * @param token The token that operators present, or empty to accept all requests.
     */
    @SuppressWarnings("TooManyArguments")
    public OperatorServer(
            DecisionLoop loop,
            DecisionLog decisions,
            List<StatusSection> sections,
            GracefulShutdown shutdown,
            Runnable onDrain,
            BooleanSupplier ready,
            MetricRegistry registry,
            Optional<String> token) {
        this.loop = loop;
        quarantine = new QuarantineRoutes(loop);
        this.decisions = decisions;
        this.sections = List.copyOf(sections);
        this.shutdown = shutdown;
        this.onDrain = onDrain;
        this.ready = ready;
        this.token = token;
        DropwizardExports.builder().dropwizardRegistry(registry).register(metrics);
        server = Javalin.create(this::configure);
    }

    /**
     * Starts listening.
     *
     * @param address The address to listen on.
     */
    public void start(HostAndPort address) {
        server.start(address.host(), address.port());
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.stop();
    }

    /**
     * Configures the server.
     *
     * @param config The configuration to change.
     */
    private void configure(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.jetty.threadPool = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        config.routes.before(this::authenticate);
        config.routes.get("/status", this::status);
        config.routes.get("/metrics", this::scrape);
        config.routes.get(HEALTH_PATH, context -> context.result("ok"));
        config.routes.get(READINESS_PATH, this::readiness);
        config.routes.get("/explain/<subject>", this::explain);
        config.routes.post("/drain", this::drain);
        config.routes.get("/log-levels", context -> write(context, LogConfiguration.levels()));
        config.routes.put("/log-levels", this::changeLogLevels);
        config.routes.get(QuarantineRoutes.PATH, quarantine::list);
        config.routes.delete(
                QuarantineRoutes.PATH + "/{fingerprint}",
                context -> quarantine.release(context, context.pathParam("fingerprint")));
    }

    /**
     * Rejects requests without the operators' token.
     *
     * @param context The request.
     */
    private void authenticate(Context context) {
        boolean unprotected =
                context.path().equals(HEALTH_PATH) || context.path().equals(READINESS_PATH);
        if (unprotected || token.isEmpty()) {
            return;
        }
        String presented = Optional.ofNullable(context.header("Authorization")).orElse("");
        if (!digest(presented).equals(digest(BEARER_PREFIX + token.get()))) {
            context.status(HttpStatus.UNAUTHORIZED);
            write(context, new ErrorDocument("unauthorized", "Present the operators' token as a bearer token."));
            context.skipRemainingHandlers();
        }
    }

    /**
     * Hashes a text, so that the duration of a comparison reveals nothing about the text.
     *
     * @param text The text.
     * @return The hash of the text.
     */
    private static String digest(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /**
     * Answers with the status document.
     *
     * @param context The request.
     */
    private void status(Context context) {
        try {
            Map<String, Object> document =
                    loop.inspect(this::document).get(INSPECTION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            write(context, document);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            unavailable(context, exception);
        } catch (ExecutionException | TimeoutException exception) {
            unavailable(context, exception);
        }
    }

    /**
     * Collects the sections of the status document.
     *
     * @return The document, by the names of the sections.
     */
    private Map<String, Object> document() {
        Map<String, Object> document = new LinkedHashMap<>();
        for (StatusSection section : sections) {
            document.put(section.name(), section.content());
        }
        document.put("shutdown", new ShutdownDocument(shutdown.isBegun(), shutdown.unfinished()));
        return document;
    }

    /**
     * Answers that the decision loop did not answer.
     *
     * @param context The request.
     * @param exception The cause.
     */
    private void unavailable(Context context, Exception exception) {
        context.status(HttpStatus.SERVICE_UNAVAILABLE);
        write(context, new ErrorDocument("no-answer", "The decision loop did not answer: " + exception));
    }

    /**
     * Answers with the metrics in the Prometheus text format.
     *
     * @param context The request.
     */
    private void scrape(Context context) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
        try {
            writer.write(output, metrics.scrape());
        } catch (IOException exception) {
            throw new java.io.UncheckedIOException(exception);
        }
        context.contentType(writer.getContentType()).result(output.toByteArray());
    }

    /**
     * Answers whether the node serves callers.
     *
     * @param context The request.
     */
    private void readiness(Context context) {
        boolean serving = ready.getAsBoolean() && !shutdown.isBegun();
        context.status(serving ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE)
                .result(serving ? "ready" : "not ready");
    }

    /**
     * Answers with the decisions on a subject.
     *
     * @param context The request.
     */
    private void explain(Context context) {
        String subject = context.pathParam("subject");
        write(context, new Explanation(subject, decisions.explain(subject)));
    }

    /**
     * Starts a graceful shutdown.
     *
     * @param context The request.
     */
    private void drain(Context context) {
        onDrain.run();
        context.status(HttpStatus.ACCEPTED);
        write(context, new ShutdownDocument(true, shutdown.unfinished()));
    }

    /**
     * Changes levels of loggers.
     *
     * @param context The request.
     */
    private void changeLogLevels(Context context) {
        try {
            Map<String, String> levels = mapper.readValue(context.body(), new TypeReference<Map<String, String>>() {});
            levels.forEach(LogConfiguration::setLevel);
            write(context, LogConfiguration.levels());
        } catch (JsonProcessingException exception) {
            context.status(HttpStatus.BAD_REQUEST);
            write(context, new ErrorDocument("bad-body", exception.getOriginalMessage()));
        }
    }

    /**
     * Writes a document as the answer.
     *
     * @param context The request.
     * @param document The document.
     */
    private void write(Context context, Object document) {
        try {
            context.contentType("application/json").result(mapper.writeValueAsBytes(document));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("A status document can't be written", exception);
        }
    }

    /**
     * An error answer.
     *
     * @param code The code of the error.
     * @param message The explanation.
     */
    private record ErrorDocument(String code, String message) {}

    /**
     * The progress of a graceful shutdown.
     *
     * @param begun Whether the shutdown has begun.
     * @param unfinished The names of the steps that have not finished.
     */
    private record ShutdownDocument(boolean begun, List<String> unfinished) {}

    /**
     * The decisions on a subject.
     *
     * @param subject The subject.
     * @param decisions The decisions, the oldest first.
     */
    private record Explanation(String subject, List<Decision> decisions) {}

    /** Writes only the size of bytes, so that no content of callers appears in a status document. */
    private interface BytesMixIn {

        /**
         * Returns the text that represents the bytes.
         *
         * @return The text that represents the bytes.
         */
        @Override
        @com.fasterxml.jackson.annotation.JsonValue
        String toString();
    }
}
