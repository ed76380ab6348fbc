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

/** A node: the decision core, the loop that ticks it, and the shell that carries out its effects. */
final class Node {

    /** The exit code when an invariant broke. */
    private static final int EXIT_BROKEN_INVARIANT = 70;

    /** The time in which the last messages of a node leave before it exits. */
    private static final Duration DEPARTURE_TIME = Duration.ofMillis(300);

    /** The time that an order may take if its pool is not known. */
    private static final Duration DEFAULT_ORDER_TIMEOUT = Duration.ofSeconds(10);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(Node.class);

    /** The node's local settings. */
    private final NodeSettings settings;

    /** The metrics. */
    private final MetricRegistry metrics = new MetricRegistry();

    /** The decision core. */
    private final NodeCore core;

    /** What the threads of the shell see of the core. */
    private final NodeObserver observer;

    /** The loop that ticks the core. */
    private final DecisionLoop loop;

    /** The log of decisions. */
    private final DecisionLog decisions = new DecisionLog();

    /** The client of the platform. */
    private final PlatformClient platform;

    /** The messages between nodes. */
    private final PeerTransport transport;

    /** The glue between membership and transport. */
    private final MembershipService membership;

    /** The glue between configuration and disk. */
    private final ConfigurationService configuration;

    /** The clients of endpoints. */
    private final EndpointShell endpoints;

    /** The interface for callers and trainers. */
    private final EntryServer entry;

    /** The interface for operators. */
    private final OperatorServer operators;

    /** The planned stop. */
    private final GracefulShutdown shutdown;

    /**
     * Assembles a node, which listens for other nodes from now on but does nothing yet.
     *
     * @param settings The node's local settings.
     */
    Node(NodeSettings settings) {
        this.settings = settings;
        RequestClock clock = new RequestClock(DecisionLoop.now(), System.currentTimeMillis());
        Member self = self(settings, clock.originEpochMillis());
        observer = new NodeObserver(self.identity(), this::serve, this::sharePlatform);
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
        endpoints =
                new EndpointShell(loop, core.endpoints(), new EndpointHttp(EndpointClientSettings.DEFAULT), metrics);
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
     * Stops the process at once when a part of the shell threw what nobody handles, as its subscription to the effects
     * ended thereby. An exception that came after its stream had been cancelled is only logged.
     *
     * @param exception The exception.
     */
    private static void unhandled(Throwable exception) {
        if (exception instanceof UndeliverableException) {
            LOGGER.warn("event=late-exception", exception);
            return;
        }
        LOGGER.fatal("event=broken-invariant", exception);
        Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT);
    }

    /** Starts all parts. The entry address is listened on once the node is ready to serve. */
    void start() {
        RxJavaPlugins.setErrorHandler(Node::unhandled);
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

    /** Runs the planned stop to its end, or returns at once if it has begun already. */
    void stopGracefully() {
        if (shutdown.isBegun()) {
            return;
        }
        try {
            shutdown.run();
            entry.close();
            loop.accept(new MembershipEvent.Departing());
            Thread.sleep(DEPARTURE_TIME.toMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            LOGGER.warn("event=shutdown-interrupted", exception);
        }
        transport.close();
        platform.close();
        loop.close();
        LOGGER.infof("event=node-stopped node=%s", observer.identity());
    }

    /** Connects the effects of the core with what carries them out. */
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

    /** Listens on the entry address. This is called on the loop's thread once the node is ready. */
    private void serve() {
        Thread thread = new Thread(this::listen, "entry-start");
        thread.start();
    }

    /**
     * Limits this node's calls to its even share of what the platform takes.
     *
     * @param workingNodes The number of nodes that take work, this one included.
     */
    private void sharePlatform(int workingNodes) {
        platform.changeRates(platformRates().shareOf(workingNodes));
    }

    /**
     * Returns what the platform takes from all nodes together.
     *
     * @return The rates.
     */
    private CallRates platformRates() {
        NodeSettings.PlatformSettings limits = settings.platform();
        return new CallRates(limits.writesPerSecond(), limits.readsPerSecond());
    }

    /** Begins to listen on the entry address, and stops the process if that is impossible. */
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

    /** Begins a planned stop that ends the process. */
    private void drain() {
        Thread thread = new Thread(() -> System.exit(0), "drain");
        thread.start();
    }

    /**
     * Returns the longest validity that entry addresses are given with.
     *
     * @return The validity, or nothing at all before the first configuration.
     */
    private Duration addressValidity() {
        return observer.configuration()
                .map(FleetConfiguration::entry)
                .map(entrySettings -> entrySettings.addressValidity())
                .orElse(Duration.ZERO);
    }

    /**
     * Returns the longest flight of an order.
     *
     * @param order The order.
     * @return The longest flight of the order.
     */
    private Duration orderTimeout(WeightEffect.Order order) {
        PoolName pool = order.endpoint().pool();
        return observer.configuration()
                .map(inForce -> inForce.pools().get(pool))
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
                .orElseThrow(() -> new IllegalArgumentException("Not an address: " + settings.peerAddress()));
        return PeerTransportSettings.of(
                address, settings.site(), settings.peerToken().orElse(""));
    }
}
