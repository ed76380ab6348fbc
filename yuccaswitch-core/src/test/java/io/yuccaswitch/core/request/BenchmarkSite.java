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

/** Nodes with their true cores before eight modelled engines, in simulated time. */
final class BenchmarkSite {

    private static final double STEP = 0.005;
    private static final double WARM_UP_SECONDS = 30;
    private static final double REPORT_INTERVAL = 0.5;

    private final List<EngineModel> engines = new ArrayList<>();
    private final List<BenchmarkNode> nodes = new ArrayList<>();
    private final Map<RequestId, Asked> asked = new HashMap<>();
    private final PoolSettings pool;
    private final Endpoints kind;
    private final int size;
    private final double lag;
    private final Random random;
    private boolean failing;
    private double now;
    private BenchmarkResult result;

    BenchmarkSite(
            PoolSettings pool,
            Function<PoolSettings, ConcurrencyLimit> limits,
            Endpoints kind,
            int size,
            double slowdown,
            double lag,
            long seed) {
        this.pool = pool;
        this.size = size;
        this.kind = kind;
        this.lag = lag;
        random = new Random(seed);
        for (int index = 0; index < kind.count(); index++) {
            double factor = index == 0 ? slowdown : 1;
            engines.add(new EngineModel(kind.baseSeconds() * factor, kind.requestSeconds() * factor, kind.capacity()));
        }
        FleetConfiguration configuration = TestConfigurations.site(pool);
        for (int index = 0; index < size; index++) {
            nodes.add(new BenchmarkNode(index, configuration, limits));
        }
    }

    /** Makes every endpoint refuse connections. */
    void fail() {
        failing = true;
    }

    /** Offers a share of the engines' peak for a time, and returns what became of the requests after a warm-up. */
    BenchmarkResult run(double load, Duration deadline, double seconds) {
        result = new BenchmarkResult(seconds);
        double peak = kind.peak();
        double perStep = load * peak * STEP;
        double end = WARM_UP_SECONDS + seconds;
        double next = 0;
        for (now = 0; now < end + 60; now += STEP) {
            while (next <= now && now < end) {
                arrive(deadline);
                next += -Math.log(1 - random.nextDouble()) / (perStep / STEP);
            }
            for (EngineModel engine : engines) {
                engine.step(now, STEP).forEach(this::finish);
            }
            nodes.forEach(BenchmarkNode::tick);
        }
        return result;
    }

    private boolean isMeasured(Asked request) {
        return request.at() >= WARM_UP_SECONDS;
    }

    private void arrive(Duration deadline) {
        double draw = random.nextDouble();
        PriorityClass priority =
                draw < 0.1 ? PriorityClass.URGENT : draw < 0.8 ? PriorityClass.NORMAL : PriorityClass.BATCH;
        double logarithm = Math.log(kind.meanTokens())
                - 0.5 * kind.spread() * kind.spread()
                + kind.spread() * random.nextGaussian();
        int tokens = (int) Math.max(1, Math.min(3000, Math.exp(logarithm)));
        RequestId id = new RequestId("r" + asked.size());
        Asked request = new Asked(now, priority, tokens);
        asked.put(id, request);
        if (isMeasured(request)) {
            result.arrived(priority);
        }
        nodes.get(random.nextInt(size))
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
        Optional<Generation> generation = kind.kind() == PoolKind.ENGINE
                ? Optional.of(new Generation("", List.of(new Generation.Segment(1, job.tokens)), "stop"))
                : Optional.empty();
        EndpointName endpoint = nodes.get(job.node).sent.get(job.attempt);
        nodes.get(job.node)
                .events
                .add(new RequestEvent.AttemptEnded(
                        job.id, job.attempt, endpoint, new AttemptResult.Whole(200, "", Bytes.EMPTY, generation)));
        Asked request = asked.get(job.id);
        request.firstToken = job.firstTokenAt - request.at();
    }

    private MonotonicTime time() {
        return new MonotonicTime((long) (now * 1e9));
    }

    /** The endpoints of a benchmark. Work is counted in tokens, which for plain services are slices of time. */
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

        /** The number of requests per second that they can serve. */
        double peak() {
            return count * capacity / (baseSeconds + requestSeconds * capacity) / (meanTokens + 1);
        }
    }

    /** A request that was offered. */
    private static final class Asked {

        private final double at;
        private final PriorityClass priority;
        private final int tokens;
        private double firstToken;

        Asked(double at, PriorityClass priority, int tokens) {
            this.at = at;
            this.priority = priority;
            this.tokens = tokens;
        }

        double at() {
            return at;
        }
    }

    /** A node with its true core. */
    private final class BenchmarkNode implements MembershipView, EndpointView {

        private final int index;
        private final DecisionCore core;
        private final List<Event> events = new ArrayList<>();
        private final Map<Integer, EndpointName> sent = new HashMap<>();
        private double reportedAt = -1;
        private List<Endpoint> reported = List.of();

        BenchmarkNode(int index, FleetConfiguration configuration, Function<PoolSettings, ConcurrencyLimit> limits) {
            this.index = index;
            RequestClock clock = new RequestClock(MonotonicTime.ZERO, 0);
            core = new DecisionCore(
                    List.of(new RequestSystem(
                            this, this, clock, new PlatformTokens(), Quarantine.NoOp.INSTANCE, limits)),
                    index);
            events.add(new ConfigurationEvent.InForce(1, configuration));
        }

        void tick() {
            List<Event> due = List.copyOf(events);
            events.clear();
            core.tick(time(), due).effects().forEach(this::take);
        }

        private void take(Effect effect) {
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
            Asked request = asked.get(send.id());
            if (isMeasured(request)) {
                result.attempt();
            }
            if (failing) {
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
            Asked request = asked.get(conclude.id());
            if (!isMeasured(request)) {
                return;
            }
            if (conclude.outcome() instanceof Outcome.Answered) {
                result.answered(request.priority, now - request.at(), request.firstToken);
            } else if (conclude.outcome() instanceof Outcome.NotRun) {
                result.refused();
            } else {
                result.lost();
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
            double due = Math.floor((now + index * REPORT_INTERVAL / size) / REPORT_INTERVAL);
            if (due > reportedAt) {
                reportedAt = due;
                reported = pool.endpoints().entrySet().stream()
                        .map(entry -> endpoint(name, entry.getKey()))
                        .sorted(java.util.Comparator.comparing(Endpoint::name))
                        .toList();
            }
            return reported;
        }

        private Endpoint endpoint(PoolName name, String engine) {
            EngineModel model = engines.get(Integer.parseInt(engine.substring(1)));
            EngineModel.State state = model.stateAt(now - lag);
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
