package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.duty.LeaseRelaySystem;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.modelversion.EngineReport;
import io.yuccaswitch.core.modelversion.NamedVersion;
import io.yuccaswitch.core.modelversion.OrderEffect;
import io.yuccaswitch.core.modelversion.OrderEvent;
import io.yuccaswitch.core.modelversion.OrderOutcome;
import io.yuccaswitch.core.modelversion.VersionSystems;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.quarantine.QuarantineSystem;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.RequestKind;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/**
 * Simulates a site whose nodes run the steps of several trainers at engines that serve all models, while one node
 * orders loads of the versions that the trainers name. Calls to engines and their answers take 10 ms each.
 */
final class LoadSite {

    private static final PoolName POOL = new PoolName("sampler");
    private static final Duration SAFETY_TIME = Duration.ofSeconds(3);
    private static final long ENGINE_LATENCY = millis(10);

    final TestSite site = new TestSite();
    final Map<String, Engine> engines = new TreeMap<>();
    final List<String> models = new ArrayList<>();
    private final PlainBatchCodec codec = new PlainBatchCodec();
    private final SchedulingOptions options;
    private final int slots;
    private final long loadNanos;
    private final List<TestNode> nodes = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private long tickets;
    private long sequence;

    /** The duration of an item, by its identifier. */
    ToLongFunction<String> itemMillis = _item -> 700;

    int started;
    int refused;
    int completed;
    int orders;
    /** The largest number of engines that loaded a model at the same time, by model. */
    final Map<String, Integer> concurrentLoads = new HashMap<>();

    LoadSite(SchedulingOptions options, int engineCount, int slots, int modelCount, Duration loadTime) {
        this.options = options;
        this.slots = slots;
        loadNanos = loadTime.toNanos();
        for (int i = 0; i < modelCount; i++) {
            models.add("model-" + i);
        }
        site.connect((_from, _to) -> false);
        site.platform().put(RouteConfigurationSystem.KIND, "main", "1");
        for (int i = 0; i < engineCount; i++) {
            String name = String.format("engine-%03d", i);
            engines.put(name, new Engine());
            register(name);
        }
        site.everyStep(_site -> simulate());
    }

    /** Starts the node that orders loads, and then one node for each model. */
    void start() {
        startNode("orders");
        run(600);
        models.forEach(model -> startNode("runs-" + model));
        run(1000);
    }

    TestNode startNode(String name) {
        TestNode node = site.start(name, (self, tokens) -> {
            SharedWatches watches = new SharedWatches(self);
            EndpointRegistrySystem registry = new EndpointRegistrySystem(watches, tokens, this::endpoint);
            RouteConfigurationSystem routes = new RouteConfigurationSystem(watches, tokens, this::configuration);
            QuarantineSystem quarantine = new QuarantineSystem(self, tokens, registry, this::epochMillis);
            DutyLease lease = new DutyLease(self, tokens, SAFETY_TIME);
            BatchSystem batches = new BatchSystem(
                    self, watches, registry, routes, codec, tokens, quarantine, options, this::epochMillis);
            VersionSystems versions =
                    new VersionSystems(self, registry, routes, tokens, LoadSite::version, lease, batches.modelDemand());
            return List.of(
                    routes,
                    registry,
                    lease,
                    new LeaseRelaySystem(tokens),
                    versions,
                    quarantine,
                    new CheckedBatchSystem(batches));
        });
        node.accept(new MembershipEvent.SelfJoined(false));
        nodes.add(node);
        return node;
    }

    TestNode node(String name) {
        return nodes.stream()
                .filter(node -> node.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    TestNode runner(String model) {
        return node("runs-" + model);
    }

    void kill(String name) {
        nodes.removeIf(node -> node.name().equals(name));
        site.kill(name);
    }

    void name(String model, long version) {
        site.platform().put(VersionSystems.KIND, model, Long.toString(version));
    }

    /** Submits a step with groups of 16 items. */
    String submit(String model, long minimumVersion, int items) {
        String id = model + "-job-" + ++sequence;
        List<BatchItem> list = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            list.add(new BatchItem(id + "-" + i, "/x", Map.of(), Bytes.EMPTY, id + "-g" + i / 16, 1, Optional.empty()));
        }
        runner(model)
                .accept(new BatchEvent.Submitted(
                        ++tickets,
                        new BatchJob(
                                new BatchJobId(id), "site.example", "/x", model, minimumVersion, epochMillis(), list),
                        site.now().plus(Duration.ofSeconds(2))));
        return id;
    }

    void end(String model, String id) {
        runner(model)
                .accept(new BatchEvent.EndRequested(
                        ++tickets, new BatchJobId(id), site.now().plus(Duration.ofSeconds(2))));
    }

    void run(int millis) {
        site.run(Duration.ofMillis(millis));
    }

    /** Returns the engines that loaded a version of a model since the start. */
    List<Engine> enginesOf(String model) {
        return engines.values().stream()
                .filter(engine -> engine.loadedModels.contains(model))
                .toList();
    }

    private long epochMillis() {
        return site.now().nanoseconds() / 1_000_000;
    }

    private void register(String name) {
        site.platform().put(EndpointRegistrySystem.KIND, name, name);
    }

    private void simulate() {
        long now = site.now().nanoseconds();
        engines.forEach((name, engine) -> {
            if (engine.finish(now)) {
                register(name);
            }
        });
        for (TestNode node : List.copyOf(nodes)) {
            node.take(OrderEffect.ReadReport.class)
                    .forEach(
                            read -> arrive(now, () -> report(node, read.engine().name())));
            node.take(OrderEffect.LoadVersion.class).forEach(order -> arrive(now, () -> load(node, order)));
            node.take(BatchEffect.Run.class).forEach(run -> arrive(now, () -> begin(node, run)));
            node.take(Effect.class);
        }
        List<Arrival> due =
                arrivals.stream().filter(arrival -> arrival.at() <= now).toList();
        arrivals.removeAll(due);
        due.forEach(arrival -> arrival.action().run());
        models.forEach(model -> concurrentLoads.merge(model, loading(model), Math::max));
    }

    private int loading(String model) {
        return (int) engines.values().stream()
                .filter(engine -> engine.isLoading(model))
                .count();
    }

    private void arrive(long now, Runnable action) {
        arrivals.add(new Arrival(now + ENGINE_LATENCY, action));
    }

    private void report(TestNode node, EndpointName name) {
        Engine engine = engines.get(name.value());
        OrderEvent answer =
                new OrderEvent.ReportRead(name, engine.unreachable ? Optional.empty() : Optional.of(engine.report()));
        arrive(site.now().nanoseconds(), () -> node.accept(answer));
    }

    private void load(TestNode node, OrderEffect.LoadVersion order) {
        EndpointName name = order.engine().name();
        OrderOutcome outcome = engines.get(name.value()).load(order, site.now().nanoseconds() + loadNanos);
        orders++;
        arrive(
                site.now().nanoseconds(),
                () -> node.accept(new OrderEvent.Ordered(name, order.model(), order.version(), outcome)));
    }

    private void begin(TestNode node, BatchEffect.Run run) {
        started++;
        long now = site.now().nanoseconds();
        Engine engine = engines.get(run.endpoint().name().value());
        String model = run.id().value().substring(0, run.id().value().indexOf("-job"));
        if (engine.isLoading(model)) {
            refused++;
            arrive(now, () -> node.accept(BatchSite.ended(run, new AttemptOutcome.Refused("loading"), ItemText.EMPTY)));
            return;
        }
        long version = engine.versions.get(model);
        long duration = millis(itemMillis.applyAsLong(run.item().id()));
        node.accept(new BatchEvent.AttemptStarted(run.id(), run.item().id(), run.attempt(), version));
        arrivals.add(new Arrival(now + duration, () -> {
            completed++;
            node.accept(BatchSite.completed(run, version));
        }));
    }

    private Optional<RegisteredEndpoint> endpoint(StoredObject object) {
        String name = object.key().name();
        return Optional.of(new RegisteredEndpoint(
                new EndpointName(POOL, name, 1),
                name + ":80",
                new AvailabilityZone("zone-a"),
                slots,
                false,
                engines.get(name).versions));
    }

    private Optional<RouteConfiguration> configuration(StoredObject _object) {
        Route route = new Route(
                "batch",
                "site.example",
                "/x",
                RequestKind.BATCH,
                List.of(new Route.PoolShare(POOL, 1)),
                Duration.ofMinutes(5),
                Duration.ofMillis(400),
                3,
                0,
                false,
                true,
                Optional.of(new Route.BatchTerms(Duration.ofMinutes(5), Duration.ofMinutes(10), false)),
                false);
        return Optional.of(new RouteConfiguration(
                1,
                List.of(route),
                Map.of(POOL, new TreeSet<>(models)),
                new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15))));
    }

    private static Optional<NamedVersion> version(StoredObject object) {
        return Optional.of(new NamedVersion(
                object.key().name(), Long.parseLong(object.value().toUtf8())));
    }

    private static long millis(long value) {
        return Duration.ofMillis(value).toNanos();
    }

    /** The arrival of a call at an engine, or of its answer. */
    private record Arrival(long at, Runnable action) {}

    /** A simulated engine, which refuses items of the model that it loads. */
    final class Engine {

        final Map<String, Long> versions = new HashMap<>();
        final Set<String> loadedModels = new HashSet<>();
        boolean unreachable;
        private long accepted;
        private long loadingUntil;
        private String model = "";
        private long version;

        Engine() {
            models.forEach(name -> versions.put(name, 1L));
        }

        boolean isLoading(String name) {
            return loadingUntil > 0 && model.equals(name);
        }

        private EngineReport report() {
            return new EngineReport(1, loadingUntil > 0, accepted, versions);
        }

        private OrderOutcome load(OrderEffect.LoadVersion order, long until) {
            if (unreachable) {
                return OrderOutcome.UNANSWERED;
            }
            if (loadingUntil > 0 || order.expectedSequence() != accepted) {
                return OrderOutcome.CONFLICT;
            }
            accepted++;
            loadingUntil = until;
            model = order.model();
            version = order.version();
            return OrderOutcome.STARTED;
        }

        private boolean finish(long now) {
            if (loadingUntil == 0 || now < loadingUntil) {
                return false;
            }
            loadingUntil = 0;
            versions.put(model, version);
            loadedModels.add(model);
            return true;
        }
    }
}
