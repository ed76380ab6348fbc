package io.yuccaswitch.node;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.exceptions.UndeliverableException;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.request.RequestClock;
import io.yuccaswitch.core.weight.WeightEffect;
import io.yuccaswitch.endpoint.EndpointClientSettings;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.node.configuration.ConfigurationService;
import io.yuccaswitch.node.configuration.ConfigurationStatus;
import io.yuccaswitch.node.configuration.EnvelopeDecoder;
import io.yuccaswitch.node.decision.DecisionLog;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.decision.TickMetrics;
import io.yuccaswitch.node.endpoint.EndpointShell;
import io.yuccaswitch.node.entry.EntryServer;
import io.yuccaswitch.node.membership.MembershipService;
import io.yuccaswitch.node.membership.MembershipStatus;
import io.yuccaswitch.node.operator.OperatorServer;
import io.yuccaswitch.node.peer.LearnedAddresses;
import io.yuccaswitch.node.peer.PeerMessages;
import io.yuccaswitch.node.shutdown.GracefulShutdown;
import io.yuccaswitch.node.shutdown.InspectionStep;
import io.yuccaswitch.node.shutdown.LeavingStep;
import io.yuccaswitch.node.trainer.SampleDrainStep;
import io.yuccaswitch.node.trainer.SampleMetrics;
import io.yuccaswitch.node.trainer.SampleStatus;
import io.yuccaswitch.node.trainer.TrainerRoutes;
import io.yuccaswitch.node.weight.LeaseStatus;
import io.yuccaswitch.node.weight.WeightStatus;
import io.yuccaswitch.platform.CallRates;
import io.yuccaswitch.platform.PlatformClient;
import io.yuccaswitch.platform.PlatformClientSettings;
import io.yuccaswitch.protocol.PeerAddresses;
import io.yuccaswitch.protocol.PeerTransport;
import io.yuccaswitch.protocol.PeerTransportSettings;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.jboss.logging.Logger;

/** A node: the decision core, the loop that runs its ticks, and the shell that executes its effects. */
final class Node {

    /** The exit code when an invariant is violated or the entry address can't be used. */
    private static final int EXIT_BROKEN_INVARIANT = 70;

    /** The delay before the exit, during which the last messages to other nodes are sent. */
    private static final Duration DEPARTURE_DELAY = Duration.ofMillis(300);

    /** The timeout of an order whose pool is not configured. */
    private static final Duration DEFAULT_ORDER_TIMEOUT = Duration.ofSeconds(10);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(Node.class);

    /** The node's local settings. */
    private final NodeSettings settings;

    /** The metrics. */
    private final MetricRegistry metrics = new MetricRegistry();

    /** The decision core. */
    private final NodeCore core;

    /** Publishes the state of the core to the threads of the shell. */
    private final NodeObserver observer;

    /** The loop that runs the ticks of the core. */
    private final DecisionLoop loop;

    /** The log of decisions. */
    private final DecisionLog decisions = new DecisionLog();

    /** The client of the platform. */
    private final PlatformClient platform;

    /** The transport of messages between nodes. */
    private final PeerTransport transport;

    /** Connects the membership to the transport. */
    private final MembershipService membership;

    /** Connects the configuration to its snapshot on disk. */
    private final ConfigurationService configuration;

    /** The clients of endpoints. */
    private final EndpointShell endpoints;

    /** The interface for callers and trainers. */
    private final EntryServer entry;

    /** The interface for operators. */
    private final OperatorServer operators;

    /** The graceful shutdown. */
    private final GracefulShutdown shutdown;

    /**
     * Creates a node. It listens for other nodes from now on, but does nothing else before {@link #start()}.
     *
     * @param settings The node's local settings.
     */
    Node(NodeSettings settings) {
        this.settings = settings;
        RequestClock clock = new RequestClock(DecisionLoop.now(), System.currentTimeMillis());
        Member self = self(settings, clock.originEpochMillis());
        observer = new NodeObserver(self.identity(), this::startEntryServer, this::updatePlatformRates);
        core = new NodeCore(self, settings.seeds(), clock, self.identity().hashCode(), observer);
        loop = new DecisionLoop(
                core.core(),
                () -> Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT),
                () -> DecisionLoop.BUSY_INTERVAL,
                new TickMetrics(metrics));
        platform = new PlatformClient(
                PlatformClientSettings.of("http://" + settings.platform().address())
                        .withToken(settings.platform().token())
                        .withRates(platformRates()),
                metrics);
        LearnedAddresses addresses = new LearnedAddresses();
        transport = new PeerTransport(
                transportSettings(settings),
                PeerMessages.registry(),
                self.identity(),
                addresses,
                loop::accept,
                metrics);
        membership = new MembershipService(loop, transport, addresses);
        configuration = new ConfigurationService(
                loop, new EnvelopeDecoder.OfDocument(), settings.dataFolder().map(Path::of), metrics);
        endpoints = new EndpointShell(
                loop, core.endpoints(), new EndpointHttp(EndpointClientSettings.DEFAULT, metrics), metrics);
        TrainerRoutes trainers = new TrainerRoutes(loop, observer::configuration);
        entry = new EntryServer(
                loop,
                core.membership(),
                observer::identity,
                clock,
                observer::configuration,
                List.of(trainers::register));
        shutdown = new GracefulShutdown(List.of(
                new LeavingStep(loop, this::addressValidity),
                new SampleDrainStep(loop, core.samples()),
                new InspectionStep("requests", loop, () -> core.requests().requestsInProgress() == 0)));
        operators = operatorServer();
    }

    /**
     * Halts the process after an unhandled exception in the shell, as the exception has ended a subscription to
     * effects. An exception that arrives after its stream was cancelled is only logged.
     *
     * @param exception The exception.
     */
    private static void haltOnUnhandled(Throwable exception) {
        if (exception instanceof UndeliverableException) {
            LOGGER.warn("event=late-exception", exception);
            return;
        }
        LOGGER.fatal("event=broken-invariant", exception);
        Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT);
    }

    /** Starts all components. The entry server starts once the node is ready to serve. */
    void start() {
        RxJavaPlugins.setErrorHandler(Node::haltOnUnhandled);
        subscribe();
        membership.start();
        configuration.start();
        transport.start();
        operators.start(HostAndPort.parse(settings.operatorAddress()));
        loop.start();
        LOGGER.infof(
                "event=node-started node=%s availabilityZone=%s peerAddress=%s operatorAddress=%s",
                observer.identity(), settings.availabilityZone(), settings.peerAddress(), settings.operatorAddress());
    }

    /** Runs the graceful shutdown to its end, or returns immediately if it has already begun. */
    void stopGracefully() {
        if (shutdown.isBegun()) {
            return;
        }
        try {
            shutdown.run();
            entry.close();
            loop.accept(new MembershipEvent.Departing());
            Thread.sleep(DEPARTURE_DELAY.toMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            LOGGER.warn("event=shutdown-interrupted", exception);
        }
        transport.close();
        platform.close();
        loop.close();
        LOGGER.infof("event=node-stopped node=%s", observer.identity());
    }

    /** Subscribes the components that execute the effects of the core. */
    @SuppressWarnings("CheckReturnValue")
    private void subscribe() {
        endpoints.connect();
        loop.decisions().subscribe(decisions::record);
        loop.effects(PlatformEffect.class)
                .subscribe(effect -> platform.execute(effect).subscribe(loop::accept));
        loop.effects(WeightEffect.Order.class)
                .subscribe(order -> endpoints.orders().order(order, orderTimeout(order)));
        new SampleMetrics(loop, core.samples(), metrics);
        MembershipService.register(core.membership(), metrics);
    }

    /** Starts the entry server on a separate thread. This is called on the loop's thread once the node is ready. */
    private void startEntryServer() {
        Thread thread = new Thread(this::listen, "entry-start");
        thread.start();
    }

    /**
     * Limits the rates of this node's calls to its even share of the platform's rate limits.
     *
     * @param workingNodes The number of nodes that accept work, including this one.
     */
    private void updatePlatformRates(int workingNodes) {
        platform.changeRates(platformRates().shareOf(workingNodes));
    }

    /**
     * Returns the rate limits of the platform, which apply to all nodes together.
     *
     * @return The rates.
     */
    private CallRates platformRates() {
        NodeSettings.PlatformSettings limits = settings.platform();
        return new CallRates(limits.writesPerSecond(), limits.readsPerSecond());
    }

    /** Starts listening on the entry address, and halts the process if this fails. */
    private void listen() {
        try {
            entry.start(HostAndPort.parse(settings.entryAddress()));
            LOGGER.infof("event=node-ready node=%s entryAddress=%s", observer.identity(), settings.entryAddress());
        } catch (RuntimeException exception) {
            LOGGER.fatal("event=entry-address-unusable", exception);
            Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT);
        }
    }

    /**
     * Creates the server for operators.
     *
     * @return The server.
     */
    private OperatorServer operatorServer() {
        return new OperatorServer(
                loop,
                decisions,
                List.of(
                        new NodeStatus(settings, observer),
                        new MembershipStatus(core.membership()),
                        new ConfigurationStatus(core.configuration()),
                        new EndpointStatus(core.endpoints()),
                        new LeaseStatus(core.leases(), DecisionLoop::now),
                        new WeightStatus(core.versions(), core.weights()),
                        new SampleStatus(core.samples())),
                shutdown,
                this::drain,
                observer::isReady,
                metrics,
                settings.operatorToken());
    }

    /** Starts a graceful shutdown, which ends the process. */
    private void drain() {
        Thread thread = new Thread(() -> System.exit(0), "drain");
        thread.start();
    }

    /**
     * Returns the maximum validity of the entry addresses that callers receive.
     *
     * @return The validity, or zero before the first configuration.
     */
    private Duration addressValidity() {
        return observer.configuration()
                .map(FleetConfiguration::entry)
                .map(entrySettings -> entrySettings.addressValidity())
                .orElse(Duration.ZERO);
    }

    /**
     * Returns the timeout of an order.
     *
     * @param order The order.
     * @return The timeout.
     */
    private Duration orderTimeout(WeightEffect.Order order) {
        PoolName pool = order.endpoint().pool();
        return observer.configuration()
                .map(active -> active.pools().get(pool))
                .map(PoolSettings::weights)
                .map(weights -> weights.orderTimeout())
                .orElse(DEFAULT_ORDER_TIMEOUT);
    }

    /**
     * Describes this node as a member.
     *
     * @param settings The node's local settings.
     * @param incarnation The incarnation of this process.
     * @return The member.
     */
    private static Member self(NodeSettings settings, long incarnation) {
        return new Member(
                new NodeIdentity(settings.name(), incarnation),
                settings.availabilityZone(),
                settings.region(),
                settings.peerAddress(),
                settings.entryAddress(),
                settings.operatorAddress(),
                MemberCondition.ALIVE);
    }

    /**
     * Computes the settings of the transport between nodes.
     *
     * @param settings The node's local settings.
     * @return The settings of the transport.
     */
    private static PeerTransportSettings transportSettings(NodeSettings settings) {
        InetSocketAddress address = PeerAddresses.parse(settings.peerAddress())
                .orElseThrow(() -> new IllegalArgumentException("Invalid peer address: " + settings.peerAddress()));
        return PeerTransportSettings.of(
                address, settings.site(), settings.peerToken().orElse(""));
    }
}
