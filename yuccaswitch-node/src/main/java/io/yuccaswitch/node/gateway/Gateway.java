package io.yuccaswitch.node.gateway;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.exceptions.UndeliverableException;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.yuccaswitch.core.batch.BatchEvent;
import io.yuccaswitch.core.batch.JobObservation;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.proxy.EndpointSelection;
import io.yuccaswitch.core.quarantine.QuarantineEffect;
import io.yuccaswitch.core.registry.RegistryEffect;
import io.yuccaswitch.core.route.RouteEffect;
import io.yuccaswitch.core.usage.UsageWindows;
import io.yuccaswitch.endpoint.EndpointChecks;
import io.yuccaswitch.endpoint.EndpointClientSettings;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.node.NodeSettings;
import io.yuccaswitch.node.SteadyTimeOfDay;
import io.yuccaswitch.node.decision.DecisionLog;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.decision.TickMetrics;
import io.yuccaswitch.node.membership.MembershipService;
import io.yuccaswitch.node.operator.QuarantineRoutes;
import io.yuccaswitch.node.peer.LearnedAddresses;
import io.yuccaswitch.node.peer.PeerMessages;
import io.yuccaswitch.platform.CallRates;
import io.yuccaswitch.platform.CircuitSettings;
import io.yuccaswitch.platform.PlatformClient;
import io.yuccaswitch.platform.PlatformClientSettings;
import io.yuccaswitch.protocol.PeerAddresses;
import io.yuccaswitch.protocol.PeerTransport;
import io.yuccaswitch.protocol.PeerTransportSettings;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/** A node that serves as a gateway: the decision core and the I/O around it. */
public final class Gateway {

    /** The exit status after a broken invariant. */
    private static final int EXIT_BROKEN_INVARIANT = 70;

    /** The timeout of a call to the platform. A slow platform answers within a quarter of it. */
    private static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(1200);

    /** The maximum wait of a watch at the platform. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    /** When the platform is retried after failures: within a second after it is reachable again. */
    private static final CircuitSettings CIRCUIT_SETTINGS =
            new CircuitSettings(4, Duration.ofMillis(150), Duration.ofMillis(700), Duration.ofMillis(500));

    /**
     * The settings of connections to endpoints, which are in the same region and close idle connections after seconds.
     */
    private static final EndpointClientSettings ENDPOINT_CLIENT_SETTINGS = new EndpointClientSettings(
            Duration.ofMillis(300), Duration.ofMillis(500), Duration.ofSeconds(5), 192, 16L << 20, 1L << 20);

    /** How long a stopping node keeps accepting requests: three times the validity of the directory's answers. */
    private static final Duration LINGER_DURATION = Duration.ofMillis(3300);

    /** The time before the end of a planned stop that is left for the answers to the last requests. */
    private static final Duration ANSWER_TIME = Duration.ofSeconds(3);

    /** The margin before the end of a planned stop, at which the process ends all work in progress. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(900);

    /** The interval at which a stopping node checks whether it is idle. */
    private static final Duration IDLE_POLL_INTERVAL = Duration.ofMillis(50);

    /** The delay for the last messages to other nodes to be sent. */
    private static final Duration DEPARTURE_DELAY = Duration.ofMillis(150);

    /** The usage window of a site without a cloud, whose counts are not reported. */
    private static final Duration DEFAULT_USAGE_WINDOW = Duration.ofMinutes(1);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(Gateway.class);

    /** The settings. */
    private final GatewaySettings settings;

    /** The view of the core for the threads that serve callers. */
    private final GatewayView view = new GatewayView();

    /** The core's systems. */
    private final GatewayCore core;

    /** Runs the core. */
    private final DecisionLoop loop;

    /** The client of the platform. */
    private final PlatformClient platform;

    /** Logs the number of calls sent to the platform. */
    private final PlatformCallLog callLog;

    /** The connections to other nodes. */
    private final PeerTransport transport;

    /** Connects the membership to the other nodes. */
    private final MembershipService membership;

    /** The connections to endpoints. */
    private final EndpointHttp http;

    /** Chooses endpoints for plain requests. */
    private final EndpointSelection selection;

    /** Assigns endpoints to plain requests. */
    private final EndpointAssignment assignment;

    /** Withholds requests on which endpoints crashed. */
    private final QuarantineGate gate;

    /** Sends requests to endpoints. */
    private final EndpointAttempts attempts;

    /** Runs items. */
    private final ItemRunner items;

    /** Runs scoring requests. */
    private final ScoringRunner scoring;

    /** Sends orders to engines. */
    private final OrderCaller orders;

    /** Calls the cloud, if one is configured. */
    private final Optional<CloudCaller> cloud;

    /** Counts the requests that start to run. */
    private final UsageMeter usage;

    /** The calls about batch jobs that wait for an answer. */
    private final PendingReplies replies;

    /** Counts what the core observes about batch jobs. */
    private final JobMetrics jobs;

    /** Serves callers. */
    private final GatewayServer server;

    /**
     * Creates a node without starting it.
     *
     * @param settings The settings.
     * @param dialects The wire dialects.
     */
    public Gateway(GatewaySettings settings, GatewayDialects dialects) {
        this.settings = settings;
        MetricRegistry metrics = new MetricRegistry();
        http = new EndpointHttp(ENDPOINT_CLIENT_SETTINGS, metrics);
        Member self = self(settings);
        LongSupplier timeOfDay = new SteadyTimeOfDay(System::currentTimeMillis, System::nanoTime);
        core = new GatewayCore(self, settings, dialects.counted(metrics), view, timeOfDay);
        loop = new DecisionLoop(
                core.core(),
                () -> Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT),
                core::maximumTickInterval,
                new TickMetrics(metrics));
        platform = new PlatformClient(platformClientSettings(settings), metrics, dialects.platform());
        callLog = new PlatformCallLog(platform);
        LearnedAddresses addresses = new LearnedAddresses();
        transport = new PeerTransport(
                PeerTransportSettings.of(peerAddress(settings), settings.site(), ""),
                PeerMessages.registry(),
                self.identity(),
                addresses,
                loop::accept,
                metrics);
        membership = new MembershipService(loop, transport, addresses);
        selection = new EndpointSelection(
                settings.availabilityZone(), settings.name().value());
        assignment = assignment(metrics);
        gate = new QuarantineGate(loop);
        EndpointChecks checks = new EndpointChecks(metrics);
        DispatchCheck dispatch = new DispatchCheck(view, metrics);
        items = new ItemRunner(http, dialects.endpoints(), checks, dispatch, loop);
        orders = new OrderCaller(http, dialects.endpoints(), loop);
        cloud = settings.cloud().map(found -> new CloudCaller(http, dialects.cloud(), found.address(), loop));
        usage = new UsageMeter(
                new UsageWindows(
                        settings.cloud().map(CloudSettings::usageWindow).orElse(DEFAULT_USAGE_WINDOW)),
                timeOfDay,
                settings.cloud().isPresent() ? loop : _event -> {});
        replies = new PendingReplies(loop);
        jobs = new JobMetrics(metrics);
        attempts = new EndpointAttempts(http, dialects.endpoints(), checks, dispatch);
        scoring = new ScoringRunner(attempts, dialects.endpoints(), loop, metrics);
        server = new GatewayServer(
                settings,
                dialects,
                view,
                new AccountCheck(metrics),
                new PlainRequestHandler(view, attempts, dialects.endpoints(), assignment, gate, usage, metrics),
                new BatchHandler(view, replies, dialects.callers(), metrics),
                new MetricsText(metrics),
                new QuarantineRoutes(loop));
        registerGauges(metrics);
    }

    /**
     * Returns the settings of the client of the platform.
     *
     * @param settings The settings of the gateway.
     * @return The settings.
     */
    private static PlatformClientSettings platformClientSettings(GatewaySettings settings) {
        NodeSettings.PlatformSettings platform = settings.platform();
        return PlatformClientSettings.of("http://" + platform.address())
                .withToken(platform.token())
                .withTimeouts(PLATFORM_TIMEOUT, WATCH_TIMEOUT)
                .withCircuit(CIRCUIT_SETTINGS)
                .withRates(
                        new CallRates(platform.writesPerSecond(), platform.readsPerSecond()).shareOf(settings.nodes()));
    }

    /**
     * Returns how endpoints are assigned to plain requests.
     *
     * @param metrics The metrics.
     * @return The assignment that the settings ask for.
     */
    private EndpointAssignment assignment(MetricRegistry metrics) {
        boolean queued =
                settings.scheduling().filter(SchedulingSettings::admission).isPresent();
        return queued ? new QueuedAssignment(view, selection, metrics) : new ImmediateAssignment(view, selection);
    }

    /**
     * Registers the gauges of the quarantine.
     *
     * @param metrics The metrics.
     */
    private void registerGauges(MetricRegistry metrics) {
        metrics.gauge(
                "gateway.quarantine.suspects", () -> () -> gate.view().entries().size());
        metrics.gauge("gateway.quarantine.held", () -> () -> gate.view().held().size());
    }

    /** Starts the node. */
    public void start() {
        RxJavaPlugins.setErrorHandler(Gateway::handleUncaught);
        subscribe();
        membership.start();
        transport.start();
        server.start();
        loop.start();
        LOGGER.infof(
                "event=node-started node=%s availabilityZone=%s entryAddress=%s peerAddress=%s platform=%s",
                settings.name(),
                settings.availabilityZone(),
                settings.entryAddress(),
                settings.peerAddress(),
                settings.platform().address());
    }

    /**
     * Stops the node gracefully: leaves the directory, serves callers that still use an earlier answer of the
     * directory, refuses requests that the stop may cut, and further ones once none is in progress or the time is
     * short, waits for requests and items in progress, and hands the remaining jobs over to other nodes.
     */
    public void stopGracefully() {
        long startedAt = System.nanoTime();
        LOGGER.infof("event=stop-begun node=%s", settings.name());
        Duration workTime = settings.stopTime().minus(STOP_MARGIN);
        view.beginStop(new PlannedStop(DecisionLoop.now(), workTime));
        loop.accept(new MembershipEvent.LeaveRequested());
        loop.accept(new BatchEvent.Leaving());
        try {
            sleepUntil(startedAt, PlannedStop.FULL_SERVICE_DURATION);
            assignment.stopLimited();
            sleepUntil(startedAt, LINGER_DURATION);
            awaitIdle(startedAt, workTime.minus(ANSWER_TIME));
            server.stopAccepting();
            awaitIdle(startedAt, workTime);
            loop.accept(new MembershipEvent.Departing());
            TimeUnit.MILLISECONDS.sleep(DEPARTURE_DELAY.toMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            LOGGER.warn("event=stop-interrupted", exception);
        }
        close();
        LOGGER.infof("event=node-stopped node=%s", settings.name());
    }

    /** Closes all parts of the node at once. */
    public void close() {
        items.close();
        scoring.close();
        orders.close();
        cloud.ifPresent(CloudCaller::close);
        usage.close();
        replies.close();
        server.close();
        transport.close();
        callLog.close();
        platform.close();
        http.close();
        loop.close();
    }

    /** Subscribes to the effects and decisions of the core. */
    @SuppressWarnings("CheckReturnValue")
    private void subscribe() {
        loop.decisions().subscribe(DecisionLog::write);
        loop.effects(PlatformEffect.class)
                .subscribe(effect -> platform.execute(effect).subscribe(loop::accept));
        loop.effects(JobObservation.class).subscribe(jobs::count);
        loop.effects(RouteEffect.Activated.class).subscribe(effect -> {
            view.replace(effect.configuration());
            server.apply(effect.configuration());
        });
        loop.effects(RegistryEffect.Confirmed.class).subscribe(effect -> view.updateFreshness(effect.freshness()));
        loop.effects(QuarantineEffect.Changed.class).subscribe(effect -> gate.replace(effect.view()));
        loop.effects(RegistryEffect.Changed.class).subscribe(effect -> {
            view.replace(effect.working());
            synchronized (selection) {
                selection.retain(effect.working());
            }
            assignment.endpointsChanged();
            attempts.cancelSupersededCalls(effect.working());
        });
    }

    /**
     * Waits until a given time after the start of a planned stop.
     *
     * @param startedAt When the stop started, in nanoseconds.
     * @param delay The time after the start.
     * @throws InterruptedException If the thread is interrupted.
     */
    private static void sleepUntil(long startedAt, Duration delay) throws InterruptedException {
        long left = startedAt + delay.toNanos() - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    /**
     * Waits until no request and no batch job is in progress, or a time after the start of a planned stop has elapsed.
     *
     * @param startedAt When the stop started, in nanoseconds.
     * @param limit The time after the start.
     * @throws InterruptedException If the thread is interrupted.
     */
    private void awaitIdle(long startedAt, Duration limit) throws InterruptedException {
        long end = startedAt + limit.toNanos();
        while (System.nanoTime() < end
                && (server.inProgress() > 0 || core.batches().runningJobs() > 0)) {
            TimeUnit.MILLISECONDS.sleep(IDLE_POLL_INTERVAL.toMillis());
        }
    }

    /**
     * Ends the process after an unhandled exception.
     *
     * @param exception The exception.
     */
    private static void handleUncaught(Throwable exception) {
        if (exception instanceof UndeliverableException) {
            LOGGER.warn("event=late-exception", exception);
            return;
        }
        LOGGER.fatal("event=broken-invariant", exception);
        Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT);
    }

    /**
     * Returns the description of this node for the other nodes.
     *
     * @param settings The settings.
     * @return The node.
     */
    private static Member self(GatewaySettings settings) {
        return new Member(
                        new NodeIdentity(settings.name(), System.currentTimeMillis()),
                        settings.availabilityZone(),
                        settings.region(),
                        settings.peerAddress(),
                        settings.entryAddress(),
                        settings.metricsAddress(),
                        MemberCondition.ALIVE)
                .withCapacity(settings.capacity());
    }

    /**
     * Returns the peer address of this node.
     *
     * @param settings The settings.
     * @return The address.
     */
    private static InetSocketAddress peerAddress(GatewaySettings settings) {
        return PeerAddresses.parse(settings.peerAddress())
                .orElseThrow(() -> new IllegalArgumentException("Invalid peer address: " + settings.peerAddress()));
    }
}
