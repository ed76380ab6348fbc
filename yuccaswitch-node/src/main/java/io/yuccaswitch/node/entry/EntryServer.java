package io.yuccaswitch.node.entry;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.config.RoutesConfig;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.request.RequestClock;
import io.yuccaswitch.node.HostAndPort;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP interface for callers.
 *
 * <p>An instance must be created before the loop starts, as it subscribes to {@code RequestEffect.Conclude},
 * {@code Stream} and {@code LookedUp}. It accepts the registrars of further routes of the entry address, such as those
 * for trainers. It is started once the node is ready, and closed last in a graceful shutdown.
 */
public final class EntryServer implements AutoCloseable {

    /** The maximum number of threads that read requests. */
    private static final int MAXIMUM_REQUEST_THREADS = 64;

    /** The minimum number of threads that read requests. */
    private static final int MINIMUM_REQUEST_THREADS = 4;

    /** The number of threads that write answers. */
    private static final int WRITER_THREADS = 32;

    /** The status of a request to a node that is not ready. */
    private static final int UNAVAILABLE = 503;

    /** The time after which a caller may retry a request to a node that was not ready. */
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofSeconds(1);

    /** The executor of the threads that write answers. */
    private final ExecutorService executor = Executors.newFixedThreadPool(WRITER_THREADS, EntryServer::newWriterThread);

    /** Supplies the active configuration. */
    private final Supplier<Optional<FleetConfiguration>> configuration;

    /** The route that lists the entry addresses. */
    private final EntryAddressRoute addresses;

    /** The routes that forward requests to endpoints. */
    private final RequestRoutes requests;

    /** The route that returns the outcome of a request. */
    private final LookupRoute lookups;

    /** The server. */
    private final Javalin server;

    /**
     * Creates a new server that does not listen yet.
     *
     * @param loop The loop of the decision core.
     * @param membership The members, which are read on the loop's thread.
     * @param self Supplies the current identity of this node, on any thread.
     * @param clock The clock that computes the windows of request ids, the same as that of the request system.
     * @param configuration Supplies the active configuration on any thread, or empty before the first one.
     * @param furtherRoutes The registrars of further routes of the entry address.
     */
    public EntryServer(
            DecisionLoop loop,
            MembershipView membership,
            Supplier<NodeIdentity> self,
            RequestClock clock,
            Supplier<Optional<FleetConfiguration>> configuration,
            List<Consumer<RoutesConfig>> furtherRoutes) {
        this.configuration = configuration;
        Scheduler writers = Schedulers.from(executor);
        addresses = new EntryAddressRoute(loop, membership, clock, this::activeConfiguration);
        requests = new RequestRoutes(
                new WaitingCallers(loop), new RequestReader(self, clock), this::activeConfiguration, writers);
        lookups = new LookupRoute(loop, this::activeConfiguration, writers);
        server = Javalin.create(config -> configure(config, furtherRoutes));
    }

    /**
     * Starts listening.
     *
     * @param address The address to listen on.
     */
    public void start(HostAndPort address) {
        server.start(address.host(), address.port());
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return The port.
     */
    public int port() {
        return server.port();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.stop();
        executor.shutdown();
    }

    /**
     * Configures the server.
     *
     * @param config The configuration to change.
     * @param furtherRoutes The registrars of further routes.
     */
    private void configure(JavalinConfig config, List<Consumer<RoutesConfig>> furtherRoutes) {
        config.startup.showJavalinBanner = false;
        config.jetty.threadPool = new QueuedThreadPool(MAXIMUM_REQUEST_THREADS, MINIMUM_REQUEST_THREADS);
        RoutesConfig routes = config.routes;
        routes.get("/v1/entry-addresses", addresses::handle);
        routes.post("/v1/completions", requests::generate);
        routes.post("/v1/chat/completions", requests::generate);
        routes.get("/v1/requests/<id>", lookups::handle);
        registerService(routes, "/services/{pool}");
        registerService(routes, "/services/{pool}/<path>");
        routes.exception(EntryException.class, (refusal, context) -> AnswerWriter.refuse(context, refusal));
        furtherRoutes.forEach(registrar -> registrar.accept(routes));
    }

    /**
     * Registers a path whose requests are forwarded unchanged to services.
     *
     * @param routes The routes to change.
     * @param path The path.
     */
    private void registerService(RoutesConfig routes, String path) {
        routes.get(path, requests::serve);
        routes.head(path, requests::serve);
        routes.post(path, requests::serve);
        routes.put(path, requests::serve);
        routes.patch(path, requests::serve);
        routes.delete(path, requests::serve);
        routes.options(path, requests::serve);
    }

    /**
     * Returns the active configuration.
     *
     * @return The configuration.
     */
    private FleetConfiguration activeConfiguration() {
        return configuration
                .get()
                .orElseThrow(() -> new EntryException(
                        UNAVAILABLE, "not-ready", "The node has no configuration yet.", NOT_READY_RETRY_AFTER));
    }

    /**
     * Creates a thread that writes answers.
     *
     * @param task The task of the thread.
     * @return The thread.
     */
    private static Thread newWriterThread(Runnable task) {
        Thread thread = new Thread(task, "entry-writer");
        thread.setDaemon(true);
        return thread;
    }
}
