package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.endpoint.EndpointCondition;
import io.yuccaswitch.core.endpoint.EndpointView;
import io.yuccaswitch.core.endpoint.LoadReport;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.limit.ConcurrencyLimit;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.quarantine.Quarantine;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;

/** Nodes with real decision cores that send requests to modelled endpoints, in simulated time. */
final class BenchmarkSite {

    private static final double STEP_SECONDS = 0.005;
    private static final double WARM_UP_SECONDS = 30;
    private static final double REPORT_INTERVAL_SECONDS = 0.5;

    private final List<EngineModel> engines = new ArrayList<>();
    private final List<BenchmarkNode> nodes = new ArrayList<>();
    private final Map<RequestId, OfferedRequest> offered = new HashMap<>();
    private final PoolSettings pool;
    private final Endpoints endpoints;
    private final int nodeCount;
    private final double reportLagSeconds;
    private final Random random;
    private boolean refusesConnections;
    private double now;
    private BenchmarkResult result;

    BenchmarkSite(
            PoolSettings pool,
            Function<PoolSettings, ConcurrencyLimit> limits,
            Endpoints endpoints,
            int nodeCount,
            double slowdown,
            double reportLagSeconds,
            long seed) {
        this.pool = pool;
        this.nodeCount = nodeCount;
        this.endpoints = endpoints;
        this.reportLagSeconds = reportLagSeconds;
        random = new Random(seed);
        for (int index = 0; index < endpoints.count(); index++) {
            double factor = index == 0 ? slowdown : 1;
            engines.add(new EngineModel(
                    endpoints.baseSeconds() * factor, endpoints.requestSeconds() * factor, endpoints.capacity()));
        }
        FleetConfiguration configuration = TestConfigurations.site(pool);
        for (int index = 0; index < nodeCount; index++) {
            nodes.add(new BenchmarkNode(index, configuration, limits));
        }
    }

    /** Makes all endpoints refuse connections. */
    void refuseConnections() {
        refusesConnections = true;
    }

    /**
     * Offers a load, as a share of the endpoints' peak throughput, and returns the outcomes of the requests that arrive
     * after the warm-up.
     */
    BenchmarkResult run(double load, Duration deadline, double seconds) {
        result = new BenchmarkResult(seconds);
        double peak = endpoints.peak();
        double perStep = load * peak * STEP_SECONDS;
        double end = WARM_UP_SECONDS + seconds;
        double next = 0;
        for (now = 0; now < end + 60; now += STEP_SECONDS) {
            while (next <= now && now < end) {
                arrive(deadline);
                next += -Math.log(1 - random.nextDouble()) / (perStep / STEP_SECONDS);
            }
            for (EngineModel engine : engines) {
                engine.step(now, STEP_SECONDS).forEach(this::finish);
            }
            nodes.forEach(BenchmarkNode::tick);
        }
        return result;
    }

    private boolean isMeasured(OfferedRequest request) {
        return request.at() >= WARM_UP_SECONDS;
    }

    private void arrive(Duration deadline) {
        double draw = random.nextDouble();
        PriorityClass priority =
                draw < 0.1 ? PriorityClass.URGENT : draw < 0.8 ? PriorityClass.NORMAL : PriorityClass.BATCH;
        double logarithm = Math.log(endpoints.meanTokens())
                - 0.5 * endpoints.spread() * endpoints.spread()
                + endpoints.spread() * random.nextGaussian();
        int tokens = (int) Math.max(1, Math.min(3000, Math.exp(logarithm)));
        RequestId id = new RequestId("r" + offered.size());
        OfferedRequest request = new OfferedRequest(now, priority, tokens);
        offered.put(id, request);
        if (isMeasured(request)) {
            result.recordArrival(priority);
        }
        nodes.get(random.nextInt(nodeCount))
                .events
                .add(new RequestEvent.Arrived(new Request(
                        id,
                        TestConfigurations.LEDGER,
                        TestConfigurations.CALLER,
                        priority,
                        true,
                        false,
                        time().plus(deadline),
                        "POST",
                        "/v1/completions",
                        "",
                        Bytes.EMPTY,
                        Optional.empty(),
                        0,
                        List.of(),
                        0,
                        0)));
    }

    private void finish(EngineModel.Job job) {
        Optional<Generation> generation = endpoints.kind() == PoolKind.ENGINE
                ? Optional.of(new Generation("", List.of(new Generation.Segment(1, job.tokens)), "stop"))
                : Optional.empty();
        EndpointName endpoint = nodes.get(job.node).sent.get(job.attempt);
        nodes.get(job.node)
                .events
                .add(new RequestEvent.AttemptEnded(
                        job.id, job.attempt, endpoint, new AttemptResult.Complete(200, "", Bytes.EMPTY, generation)));
        OfferedRequest request = offered.get(job.id);
        request.firstToken = job.firstTokenAt - request.at();
    }

    private MonotonicTime time() {
        return new MonotonicTime((long) (now * 1e9));
    }

    /** The endpoints of a benchmark. Work is measured in tokens, which for plain services represent time slices. */
    record Endpoints(
            PoolKind kind,
            int count,
            int capacity,
            double baseSeconds,
            double requestSeconds,
            double meanTokens,
            double spread) {

        static final Endpoints ENGINES = new Endpoints(PoolKind.ENGINE, 8, 32, 0.020, 0.001, 100, 1);
        static final Endpoints SERVICES = new Endpoints(PoolKind.SERVICE, 4, 8, 0.010, 0, 10, 0.5);

        /** Returns the peak throughput of the endpoints, in requests per second. */
        double peak() {
            return count * capacity / (baseSeconds + requestSeconds * capacity) / (meanTokens + 1);
        }
    }

    /** A request that was sent to a node. */
    private static final class OfferedRequest {

        private final double at;
        private final PriorityClass priority;
        private final int tokens;
        private double firstToken;

        OfferedRequest(double at, PriorityClass priority, int tokens) {
            this.at = at;
            this.priority = priority;
            this.tokens = tokens;
        }

        double at() {
            return at;
        }
    }

    /** A node with a real decision core. */
    private final class BenchmarkNode implements MembershipView, EndpointView {

        private final int index;
        private final DecisionCore core;
        private final List<Event> events = new ArrayList<>();
        private final Map<Integer, EndpointName> sent = new HashMap<>();
        private double reportedInterval = -1;
        private List<Endpoint> reported = List.of();

        BenchmarkNode(int index, FleetConfiguration configuration, Function<PoolSettings, ConcurrencyLimit> limits) {
            this.index = index;
            RequestClock clock = new RequestClock(MonotonicTime.ZERO, 0);
            core = new DecisionCore(
                    List.of(new RequestSystem(
                            this, this, clock, new PlatformTokens(), Quarantine.NoOp.INSTANCE, limits)),
                    index);
            events.add(new ConfigurationEvent.Activated(1, configuration));
        }

        void tick() {
            List<Event> due = List.copyOf(events);
            events.clear();
            core.tick(time(), due).effects().forEach(this::handleEffect);
        }

        private void handleEffect(Effect effect) {
            if (effect instanceof RequestEffect.Send send) {
                send(send);
            } else if (effect instanceof RequestEffect.CancelAttempt cancel) {
                engines.forEach(engine -> engine.cancel(index, cancel.attempt()));
                events.add(new RequestEvent.AttemptEnded(
                        cancel.id(),
                        cancel.attempt(),
                        sent.get(cancel.attempt()),
                        new AttemptResult.MaybeRun("cancelled", Optional.empty())));
            } else if (effect instanceof RequestEffect.Conclude conclude) {
                conclude(conclude);
            }
        }

        private void send(RequestEffect.Send send) {
            sent.put(send.attempt(), send.endpoint());
            OfferedRequest request = offered.get(send.id());
            if (isMeasured(request)) {
                result.recordAttempt();
            }
            if (refusesConnections) {
                events.add(new RequestEvent.AttemptEnded(
                        send.id(), send.attempt(), send.endpoint(), new AttemptResult.NotRun("connect-failed", false)));
                return;
            }
            int engine = Integer.parseInt(send.endpoint().value().substring(1));
            engines.get(engine)
                    .submit(new EngineModel.Job(
                            index, send.id(), send.attempt(), now, request.priority, 1, request.tokens));
        }

        private void conclude(RequestEffect.Conclude conclude) {
            OfferedRequest request = offered.get(conclude.id());
            if (!isMeasured(request)) {
                return;
            }
            if (conclude.outcome() instanceof Outcome.Answered) {
                result.recordAnswer(request.priority, now - request.at(), request.firstToken);
            } else if (conclude.outcome() instanceof Outcome.NotRun) {
                result.recordRefusal();
            } else {
                result.recordFailure();
            }
        }

        @Override
        public Member self() {
            return new Member(
                    new NodeIdentity(new NodeName("n" + index), 1),
                    new AvailabilityZone("z" + index % 4),
                    "local",
                    "h:1",
                    "h:2",
                    "h:3",
                    MemberCondition.ALIVE);
        }

        @Override
        public Collection<Member> working() {
            return List.of(self());
        }

        @Override
        public Optional<Member> find(NodeName _name) {
            return Optional.empty();
        }

        @Override
        public List<Endpoint> candidates(PoolName name) {
            double due = Math.floor((now + index * REPORT_INTERVAL_SECONDS / nodeCount) / REPORT_INTERVAL_SECONDS);
            if (due > reportedInterval) {
                reportedInterval = due;
                reported = pool.endpoints().entrySet().stream()
                        .map(entry -> endpoint(name, entry.getKey()))
                        .sorted(java.util.Comparator.comparing(Endpoint::name))
                        .toList();
            }
            return reported;
        }

        private Endpoint endpoint(PoolName name, String engine) {
            EngineModel model = engines.get(Integer.parseInt(engine.substring(1)));
            EngineModel.State state = model.stateAt(now - reportLagSeconds);
            return new Endpoint(
                    new EndpointName(name, engine),
                    PoolKind.ENGINE,
                    "h:1",
                    new AvailabilityZone("z0"),
                    EndpointCondition.LIVE,
                    Optional.empty(),
                    Optional.of(new LoadReport(time(), state.active(), state.waiting(), model.capacity(), 0)),
                    Map.of());
        }
    }
}
