package io.yuccaswitch.node.gateway;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.yuccaswitch.core.account.ClientAccount;
import io.yuccaswitch.core.batch.BatchJob;
import io.yuccaswitch.core.route.RequestKind;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.node.HostAndPort;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.operator.QuarantineRoutes;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jboss.logging.Logger;

/** The HTTP server of a gateway, with separate addresses for requests, readiness, the directory and metrics. */
final class GatewayServer implements AutoCloseable {

    /** The maximum number of threads. Each thread serves one plain request at a time. */
    private static final int MAXIMUM_THREADS = 96;

    /** The number of idle threads that are kept. */
    private static final int IDLE_THREADS = 6;

    /** The maximum size of a request's headers, until a configuration sets one. */
    private static final int DEFAULT_MAXIMUM_HEADER_BYTES = 16 * 1024;

    /**
     * The maximum size of an answer's headers: of the largest head that an endpoint may send, and those of the gateway.
     */
    private static final int MAXIMUM_RESPONSE_HEADER_BYTES = 32 * 1024;

    /** The time after which an idle connection is closed, until a configuration sets one. */
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(15);

    /** The validity of an answer of the directory. A stopping VM keeps serving at least three times as long. */
    private static final Duration ADDRESS_VALIDITY = Duration.ofSeconds(1);

    /** The delay before a retry at a node that has no configuration yet. */
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(300);

    /** The time that a caller waits if it does not state one. */
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

    /** The path of the metrics. */
    private static final String METRICS_PATH = "/metrics";

    /** The status of success. */
    private static final int OK = 200;

    /** The status of a malformed call. */
    private static final int BAD_REQUEST = 400;

    /** The status of a request without a route. */
    private static final int NOT_FOUND = 404;

    /** The status of a body that is too large. */
    private static final int CONTENT_TOO_LARGE = 413;

    /** The status of a node that has no configuration yet or is stopping. */
    private static final int UNAVAILABLE = 503;

    /** The status of a submission to a stopping node, which may have been accepted by an earlier call. */
    private static final int GATEWAY_TIMEOUT = 504;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(GatewayServer.class);

    /** The settings. */
    private final GatewaySettings settings;

    /** The dialect of callers. */
    private final CallerDialect callers;

    /** The dialect of endpoints. */
    private final EndpointDialect endpoints;

    /** Refuses requests without a single meaning. */
    private final RequestValidation validation;

    /** The view of the core. */
    private final GatewayView view;

    /** Determines the accounts of requests. */
    private final AccountCheck accounts;

    /** Serves plain requests. */
    private final PlainRequestHandler plain;

    /** Serves calls about batch jobs. */
    private final BatchHandler batches;

    /** Writes the metrics. */
    private final MetricsText metrics;

    /** Lists requests on which endpoints crashed. */
    private final QuarantineRoutes quarantine;

    /** Detects that callers disconnect. */
    private final DisconnectWatch disconnects = new DisconnectWatch();

    /** The number of requests in progress at the address for requests. */
    private final AtomicInteger inProgress = new AtomicInteger();

    /** Whether requests are no longer served. */
    private volatile boolean refusing;

    /** The connectors. */
    private final List<ServerConnector> connectors = new ArrayList<>();

    /** The server. */
    private final Javalin server;

    /**
     * Creates a server that is not listening.
     *
     * @param settings The settings.
     * @param dialects The wire dialects.
     * @param view The view of the core.
     * @param accounts Determines the accounts of requests.
     * @param plain Serves plain requests.
     * @param batches Serves calls about batch jobs.
     * @param metrics Writes the metrics.
     * @param quarantine Lists requests on which endpoints crashed.
     */
    GatewayServer(
            GatewaySettings settings,
            GatewayDialects dialects,
            GatewayView view,
            AccountCheck accounts,
            PlainRequestHandler plain,
            BatchHandler batches,
            MetricsText metrics,
            QuarantineRoutes quarantine) {
        this.settings = settings;
        callers = dialects.callers();
        endpoints = dialects.endpoints();
        validation = new RequestValidation(callers);
        this.view = view;
        this.accounts = accounts;
        this.plain = plain;
        this.batches = batches;
        this.metrics = metrics;
        this.quarantine = quarantine;
        server = Javalin.create(this::configure);
    }

    /** Starts listening. */
    void start() {
        server.start();
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return The number.
     */
    int inProgress() {
        return inProgress.get();
    }

    /**
     * Stops accepting connections, and refuses further requests on the existing ones. A request counts as in progress
     * before it is checked, so that each one is either refused or counted after this call.
     */
    void stopAccepting() {
        connectors.forEach(ServerConnector::close);
        refusing = true;
    }

    /**
     * Applies the limits of a configuration to new connections.
     *
     * @param configuration The configuration.
     */
    void apply(RouteConfiguration configuration) {
        RouteConfiguration.CallerLimits limits = configuration.limits();
        connectors.forEach(connector -> {
            connector.setIdleTimeout(limits.idleTimeout().toMillis());
            connector
                    .getConnectionFactory(HttpConnectionFactory.class)
                    .getHttpConfiguration()
                    .setRequestHeaderSize(limits.maximumHeaderBytes());
        });
    }

    @Override
    public void close() {
        disconnects.close();
        server.stop();
    }

    /**
     * Configures the server.
     *
     * @param config The configuration of the library.
     */
    private void configure(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.http.compressionStrategy = io.javalin.compression.CompressionStrategy.NONE;
        config.jetty.threadPool = new QueuedThreadPool(MAXIMUM_THREADS, IDLE_THREADS);
        config.jetty.modifyHttpConfiguration(http -> {
            http.setUriCompliance(UriCompliance.UNSAFE);
            http.setSendServerVersion(false);
            http.setSendDateHeader(false);
            http.setRequestHeaderSize(DEFAULT_MAXIMUM_HEADER_BYTES);
            http.setResponseHeaderSize(MAXIMUM_RESPONSE_HEADER_BYTES);
            http.setMaxResponseHeaderSize(MAXIMUM_RESPONSE_HEADER_BYTES);
        });
        for (String address : Set.of(
                settings.entryAddress(),
                settings.readinessAddress(),
                settings.directoryAddress(),
                settings.metricsAddress())) {
            config.jetty.addConnector((jetty, http) -> connector(jetty, http, HostAndPort.parse(address)));
        }
        route(config.routes, "/");
        route(config.routes, "/<path>");
        config.routes.exception(MalformedCallException.class, (exception, context) -> {
            LOGGER.infof("event=malformed-call code=%s reason=\"%s\"", exception.code(), exception.getMessage());
            context.status(BAD_REQUEST).result(exception.code() + ": " + exception.getMessage());
        });
    }

    /**
     * Creates a connector.
     *
     * @param jetty The server.
     * @param http The configuration of HTTP.
     * @param address The address.
     * @return The connector.
     */
    private Connector connector(Server jetty, HttpConfiguration http, HostAndPort address) {
        ServerConnector connector = new ServerConnector(jetty, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(DEFAULT_IDLE_TIMEOUT.toMillis());
        connectors.add(connector);
        return connector;
    }

    /**
     * Registers a handler for all methods of a path.
     *
     * @param routes The library's routes.
     * @param path The path.
     */
    private void route(RoutesConfig routes, String path) {
        routes.get(path, this::handle);
        routes.head(path, this::handle);
        routes.post(path, this::handle);
        routes.put(path, this::handle);
        routes.patch(path, this::handle);
        routes.delete(path, this::handle);
        routes.options(path, this::handle);
    }

    /**
     * Serves a request at any address.
     *
     * @param context The request.
     * @throws IOException If the caller has disconnected.
     */
    private void handle(Context context) throws IOException {
        int port = context.req().getLocalPort();
        String path = context.req().getRequestURI();
        if (port == portOf(settings.entryAddress())) {
            serve(context, path);
        } else if (port == portOf(settings.readinessAddress()) && callers.isReadinessQuery(path)) {
            context.status(view.isReady() ? OK : UNAVAILABLE);
        } else if (port == portOf(settings.directoryAddress()) && callers.isAddressQuery(path)) {
            answerDirectory(context);
        } else if (port == portOf(settings.metricsAddress()) && path.equals(METRICS_PATH)) {
            context.contentType(MetricsText.CONTENT_TYPE).result(metrics.write());
        } else if (port == portOf(settings.metricsAddress()) && path.startsWith(QuarantineRoutes.PATH)) {
            handleQuarantine(context, path);
        } else {
            context.status(NOT_FOUND);
        }
    }

    /**
     * Lists the requests on which endpoints crashed, or releases one from quarantine.
     *
     * @param context The request.
     * @param path The path.
     */
    private void handleQuarantine(Context context, String path) {
        boolean isRelease = context.req().getMethod().equals("DELETE");
        if (isRelease) {
            quarantine.release(context, path.substring(path.lastIndexOf('/') + 1));
        } else {
            quarantine.list(context);
        }
    }

    /**
     * Answers with the entry addresses to use.
     *
     * @param context The request.
     */
    private void answerDirectory(Context context) {
        List<String> addresses = new ArrayList<>(view.addresses());
        if (view.isLeaving()) {
            addresses.remove(settings.entryAddress());
        }
        if (addresses.isEmpty()) {
            context.status(UNAVAILABLE);
            return;
        }
        Collections.shuffle(addresses);
        context.contentType("application/json").result(callers.writeAddresses(addresses, ADDRESS_VALIDITY));
    }

    /**
     * Serves a request at the address for requests.
     *
     * @param context The request.
     * @param path The path.
     * @throws IOException If the caller has disconnected.
     */
    private void serve(Context context, String path) throws IOException {
        inProgress.incrementAndGet();
        boolean answeredAsynchronously = false;
        try {
            answeredAsynchronously = dispatch(context, path);
        } finally {
            if (!answeredAsynchronously) {
                inProgress.decrementAndGet();
            }
        }
    }

    /**
     * Determines the kind of a request, and serves it.
     *
     * @param context The request.
     * @param path The path.
     * @return {@code true} if the answer is written later, on another thread.
     * @throws IOException If the caller has disconnected.
     */
    private boolean dispatch(Context context, String path) throws IOException {
        MonotonicTime arrivedAt = DecisionLoop.now();
        Optional<RouteConfiguration> routes = view.routes();
        long maximumBodyBytes = routes.map(
                        configuration -> configuration.limits().maximumBodyBytes())
                .orElse(Long.MAX_VALUE);
        Optional<Bytes> body = readBody(context, maximumBodyBytes);
        ClientConnection connection = ClientConnection.of(context.req());
        CallerResponse caller = new CallerResponse(context, connection, view::isLeaving);
        if (routes.isEmpty() || !view.hasEndpoints()) {
            caller.answerText(UNAVAILABLE, "no configuration yet", Optional.of(NOT_READY_RETRY_AFTER));
            return false;
        }
        if (body.isEmpty()) {
            caller.answerText(CONTENT_TOO_LARGE, "the body is too large", Optional.empty());
            return false;
        }
        if (refusing) {
            refuse(context, caller, routes.get(), path);
            return false;
        }
        validation.requireValidHeaders(context.req());
        Optional<CallerDialect.BatchCall> call =
                callers.batchCall(context.req().getMethod(), path, context::queryParam, context::header);
        if (call.isPresent()) {
            BatchHandler.CallTimes times = new BatchHandler.CallTimes(arrivedAt, callerTimeout(context));
            Optional<ClientAccount> account = accounts.admitBatchCall(context, caller, routes.get());
            account.ifPresent(owner ->
                    batches.serve(context, caller, call.get().ownedBy(owner), times, inProgress::decrementAndGet));
            return account.isPresent();
        }
        String host = Optional.ofNullable(context.header("Host")).orElse("");
        Optional<Route> route = routes.get().find(host, path);
        if (route.isEmpty()) {
            LOGGER.infof(
                    "event=no-route host=%s path=%s configuration=%d",
                    host, path, routes.get().version());
            caller.answerText(NOT_FOUND, "no route", Optional.empty());
            return false;
        }
        Optional<ClientAccount> account = accounts.admit(context, caller, routes.get(), route.get());
        if (account.isEmpty()) {
            return false;
        }
        if (route.get().kind() == RequestKind.BATCH) {
            BatchHandler.CallTimes times = new BatchHandler.CallTimes(arrivedAt, requestTimeout(context, route.get()));
            CallerDialect.Envelope envelope =
                    envelope(context, account.get(), path, routes.get().version());
            BatchJob job = callers.readJob(envelope, body.get().unsafeArray());
            batches.submit(context, caller, job, times, inProgress::decrementAndGet);
            return true;
        }
        validation.requireForwardable(
                context.req(), targetOf(context), body.get().size());
        PlainRequest request = plainRequest(context, route.get(), account.get(), body.get(), arrivedAt);
        try (DisconnectWatch.WatchedRequest watched = disconnects.watch(connection)) {
            plain.serve(request, caller, watched);
        }
        return false;
    }

    /**
     * Refuses a request because this node is about to end. The submission of a batch job is not reported as not run,
     * since an earlier call may have been accepted.
     *
     * @param context The request.
     * @param caller Writes the answer.
     * @param routes The configuration of routes.
     * @param path The path.
     * @throws IOException If the caller has disconnected.
     */
    private static void refuse(Context context, CallerResponse caller, RouteConfiguration routes, String path)
            throws IOException {
        String host = Optional.ofNullable(context.header("Host")).orElse("");
        boolean submits = routes.find(host, path)
                .filter(route -> route.kind() == RequestKind.BATCH)
                .isPresent();
        caller.answerText(
                submits ? GATEWAY_TIMEOUT : UNAVAILABLE, UnservedRequests.STOPPING, Optional.of(Duration.ZERO));
    }

    /**
     * Reads the properties of the submission of a batch job outside its body.
     *
     * @param context The request.
     * @param account The account of the job.
     * @param path The path.
     * @param configurationVersion The version of the configuration that has the job's route.
     * @return The properties.
     */
    private CallerDialect.Envelope envelope(
            Context context, ClientAccount account, String path, long configurationVersion) {
        String host = Optional.ofNullable(context.header("Host")).orElse("");
        String id =
                Optional.ofNullable(context.header(callers.requestIdHeader())).orElse("");
        return new CallerDialect.Envelope(id, account, host, path, System.currentTimeMillis(), configurationVersion);
    }

    /**
     * Reads a plain request.
     *
     * @param context The request.
     * @param route The route.
     * @param account The account of the request.
     * @param body The body.
     * @param arrivedAt When the request arrived.
     * @return The request.
     */
    private PlainRequest plainRequest(
            Context context, Route route, ClientAccount account, Bytes body, MonotonicTime arrivedAt) {
        OutgoingRequest outgoing = new OutgoingRequest(
                Optional.ofNullable(context.header(callers.requestIdHeader())).orElse(""),
                context.req().getMethod(),
                targetOf(context),
                headersOf(context, account),
                account.name(),
                body,
                settings.scheduling()
                        .map(scheduling -> scheduling.plainPriority(account, route))
                        .orElseGet(OptionalInt::empty));
        return new PlainRequest(outgoing, route, arrivedAt.plus(requestTimeout(context, route)));
    }

    /**
     * Returns the target of a request.
     *
     * @param context The request.
     * @return The path with the query, as the caller sent them.
     */
    private static String targetOf(Context context) {
        String query = context.req().getQueryString();
        return context.req().getRequestURI() + (query == null ? "" : "?" + query);
    }

    /**
     * Returns the timeout of a request: that of its caller or that of its route, whichever is shorter.
     *
     * @param context The request.
     * @param route The route.
     * @return The timeout, counted from the request's arrival.
     */
    private Duration requestTimeout(Context context, Route route) {
        Duration requested = callerTimeout(context);
        return requested.compareTo(route.timeout()) < 0 ? requested : route.timeout();
    }

    /**
     * Returns the timeout of a caller.
     *
     * @param context The request.
     * @return The timeout, counted from the request's arrival.
     */
    private Duration callerTimeout(Context context) {
        return callers.timeLeft(context::header).orElse(DEFAULT_TIMEOUT);
    }

    /**
     * Returns the headers that are forwarded.
     *
     * @param context The request.
     * @param account The account of the request.
     * @return The headers, in order.
     */
    private List<Map.Entry<String, String>> headersOf(Context context, ClientAccount account) {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        Set<String> connectionHeaders = RequestValidation.connectionHeaders(context.req());
        for (String name : Collections.list(context.req().getHeaderNames())) {
            if (endpoints.isForwarded(name)
                    && !connectionHeaders.contains(name.toLowerCase(Locale.ROOT))
                    && !(account.isChecked() && endpoints.isAccountHeader(name))) {
                Collections.list(context.req().getHeaders(name))
                        .forEach(value -> headers.add(Map.entry(name, decoded(name, value))));
            }
        }
        return headers;
    }

    /**
     * Decodes the value of a header, which the server decoded as ISO 8859-1.
     *
     * @param name The name.
     * @param value The value, with each byte as one character.
     * @return The text that is sent to endpoints as the same bytes.
     * @throws MalformedCallException If the bytes can't be sent unchanged.
     */
    private static String decoded(String name, String value) {
        Optional<String> text = SendableHeaders.decode(value);
        Optional<String> flaw =
                text.isEmpty() ? Optional.of("the value is not valid UTF-8") : SendableHeaders.flaw(name, text.get());
        flaw.ifPresent(reason -> {
            throw new MalformedCallException("malformed-header", "header " + name + ": " + reason);
        });
        return text.get();
    }

    /**
     * Reads the body of a request.
     *
     * @param context The request.
     * @param maximumBytes The maximum size in bytes.
     * @return The body, or empty if it is too large.
     * @throws IOException If the connection of the caller fails.
     */
    private static Optional<Bytes> readBody(Context context, long maximumBytes) throws IOException {
        InputStream input = context.req().getInputStream();
        try {
            byte[] body = input.readNBytes((int) Math.min(Integer.MAX_VALUE - 8, maximumBytes));
            return input.read() < 0 ? Optional.of(Bytes.wrap(body)) : Optional.empty();
        } catch (IOException exception) {
            if (RequestValidation.isMalformed(exception)) {
                throw RequestValidation.malformedBody();
            }
            throw exception;
        }
    }

    /**
     * Returns the port of an address.
     *
     * @param address The address as host:port.
     * @return The port.
     */
    private static int portOf(String address) {
        return HostAndPort.parse(address).port();
    }
}
