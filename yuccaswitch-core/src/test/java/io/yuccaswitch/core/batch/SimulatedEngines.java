package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.quarantine.QuarantineSystem;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.EngineTerms;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Simulates nodes, each of which runs the jobs of one model, in front of engines whose speeds change: a healthy engine
 * makes an event of 77 tokens every 49 ms for each of its runs. The progress of runs is reported every 250 ms, and an
 * engine without a free slot refuses.
 */
final class SimulatedEngines {

    static final PoolName POOL = new PoolName("sampler");
    static final int TOKENS_PER_EVENT = 77;
    static final int MAXIMUM_EVENTS = 147;
    private static final double EVENT_SECONDS = 0.049;
    private static final double STEP_SECONDS = 0.01;
    private static final long READING_MILLIS = 250;
    private static final long CANCEL_MILLIS = 20;

    final TestSite site = new TestSite();
    final List<Started> started = new ArrayList<>();
    final List<Moved> moves = new ArrayList<>();
    final Map<String, Integer> lengths = new HashMap<>();
    final Map<String, Long> submittedAt = new LinkedHashMap<>();
    final Map<String, Long> endedAt = new HashMap<>();
    int refusals;
    private final List<TestNode> nodes = new ArrayList<>();
    private final List<String> models;
    private final int slots;
    private final Speed speed;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Integer> open = new HashMap<>();
    private final PlainBatchCodec codec = new PlainBatchCodec();
    private final SchedulingOptions options;
    private final long origin;

    SimulatedEngines(int nodes, int engines, int slots, boolean shared, Speed speed) {
        this.slots = slots;
        this.speed = speed;
        options = new SchedulingOptions(false, shared, false, false);
        models = IntStream.range(0, nodes).mapToObj(node -> "model-" + node).toList();
        site.connect((_from, _to) -> false);
        site.platform().put(RouteConfigurationSystem.KIND, "main", "1");
        for (int engine = 0; engine < engines; engine++) {
            site.platform().put(EndpointRegistrySystem.KIND, engineName(engine), "1");
        }
        for (int node = 0; node < nodes; node++) {
            this.nodes.add(start("node-" + node));
        }
        site.run(Duration.ofMillis(500));
        origin = site.now().nanoseconds();
        site.everyStep(_site -> step());
    }

    static String engineName(int engine) {
        return String.format("engine-%03d", engine);
    }

    static int indexOf(EndpointName engine) {
        return Integer.parseInt(engine.value().substring("engine-".length()));
    }

    /** Returns the time since the start of the simulation. */
    long millis() {
        return (site.now().nanoseconds() - origin) / 1_000_000;
    }

    void run(long millis) {
        site.run(Duration.ofMillis(millis));
    }

    TestNode node(int node) {
        return nodes.get(node);
    }

    /** Submits a job with items of given lengths at a node. The estimates state the maximum where they are 0. */
    void submit(int node, String id, List<Integer> events, List<Integer> estimates) {
        List<BatchItem> items = new ArrayList<>();
        for (int i = 0; i < events.size(); i++) {
            String item = id + "-" + i;
            int estimate = estimates.get(i) > 0 ? estimates.get(i) : MAXIMUM_EVENTS;
            lengths.put(item, events.get(i));
            items.add(new BatchItem(
                    item,
                    "/x",
                    Map.of(),
                    Bytes.EMPTY,
                    id + "-g" + i / 16,
                    (long) estimate * TOKENS_PER_EVENT,
                    Optional.empty()));
        }
        open.put(id, events.size());
        submittedAt.put(id, millis());
        BatchJob job =
                new BatchJob(new BatchJobId(id), "site.example", "/x", models.get(node), 1, 1000 + millis(), items);
        nodes.get(node).accept(new BatchEvent.Submitted(1, job, site.now().plus(BatchSite.CALL_TIMEOUT)));
    }

    /** Returns whether all items of all jobs are complete. */
    boolean isComplete() {
        return endedAt.keySet().containsAll(submittedAt.keySet());
    }

    /** Returns the number of runs at an engine. */
    private long running(int engine) {
        return runs.values().stream().filter(run -> run.engine == engine).count();
    }

    /** Returns the runs at an engine that need at least a number of further events. */
    List<String> longRuns(int engine, int events) {
        return runs.values().stream()
                .filter(run -> run.engine == engine && run.length - run.events >= events)
                .map(run -> run.key)
                .toList();
    }

    private void step() {
        for (TestNode node : nodes) {
            for (BatchEffect.Cancel cancel : node.take(BatchEffect.Cancel.class)) {
                Run run = runs.get(key(cancel.id(), cancel.item(), cancel.attempt()));
                if (run != null && run.cancelledAt < 0) {
                    run.cancelledAt = millis();
                    moves.add(new Moved(run.key, run.engine, run.startedAt, millis()));
                }
            }
            node.take(BatchEffect.Run.class).forEach(run -> begin(node, run));
        }
        List.copyOf(runs.values()).forEach(this::advance);
        for (int node = 0; node < nodes.size(); node++) {
            if ((millis() + 60L * node) % READING_MILLIS == 0) {
                report(nodes.get(node));
            }
        }
    }

    private void begin(TestNode node, BatchEffect.Run effect) {
        int engine = indexOf(effect.endpoint().name());
        if (running(engine) >= slots) {
            refusals++;
            node.accept(BatchSite.ended(effect, new AttemptOutcome.Refused("full"), ItemText.EMPTY));
            return;
        }
        Run run = new Run(node, effect, engine, lengths.get(effect.item().id()), millis());
        runs.put(run.key, run);
        started.add(new Started(run.key, engine, millis()));
        node.accept(new BatchEvent.AttemptStarted(effect.id(), effect.item().id(), effect.attempt(), 1));
    }

    private void advance(Run run) {
        run.events += STEP_SECONDS / EVENT_SECONDS / speed.slowness(run.engine, run.key, millis());
        String job = run.effect.id().value();
        if (run.events >= run.length) {
            runs.remove(run.key);
            run.node.accept(BatchSite.ended(
                    run.effect, new AttemptOutcome.Completed(), BatchSite.text(run.effect, run.length, 1)));
            if (open.merge(job, -1, Integer::sum) == 0) {
                endedAt.put(job, millis());
            }
        } else if (run.cancelledAt >= 0 && millis() - run.cancelledAt >= CANCEL_MILLIS) {
            runs.remove(run.key);
            run.node.accept(BatchSite.ended(
                    run.effect,
                    new AttemptOutcome.Interrupted("cancelled", false),
                    BatchSite.text(run.effect, (int) run.events, 1)));
        }
    }

    private void report(TestNode node) {
        List<BatchEvent.Progress> progress = runs.values().stream()
                .filter(run -> run.node == node)
                .map(run -> new BatchEvent.Progress(
                        run.effect.id(),
                        run.effect.item().id(),
                        run.effect.attempt(),
                        (long) run.events - run.effect.lastEventId(),
                        Duration.ofMillis(millis() - run.startedAt)))
                .toList();
        if (!progress.isEmpty()) {
            node.accept(new BatchEvent.Progressed(progress));
        }
    }

    private TestNode start(String name) {
        return site.start(name, (self, tokens) -> {
            SharedWatches watches = new SharedWatches(self);
            EndpointRegistrySystem registry = new EndpointRegistrySystem(watches, tokens, this::endpoint);
            RouteConfigurationSystem routes = new RouteConfigurationSystem(watches, tokens, this::configuration);
            QuarantineSystem quarantine = new QuarantineSystem(self, tokens, registry, () -> 1000);
            return List.of(
                    routes,
                    registry,
                    quarantine,
                    new CheckedBatchSystem(new BatchSystem(
                            self, watches, registry, routes, codec, tokens, quarantine, options, () -> 1000)));
        });
    }

    private Optional<RegisteredEndpoint> endpoint(StoredObject object) {
        return Optional.of(new RegisteredEndpoint(
                new EndpointName(POOL, object.key().name(), 1),
                object.key().name() + ":80",
                new AvailabilityZone("zone-a"),
                slots,
                false,
                models.stream().collect(Collectors.toMap(model -> model, _model -> 1L))));
    }

    private Optional<RouteConfiguration> configuration(StoredObject _object) {
        Route route = new Route(
                "batch",
                "site.example",
                "/x",
                RequestKind.BATCH,
                List.of(new Route.PoolShare(POOL, 1)),
                Duration.ofSeconds(10),
                Duration.ofMillis(400),
                3,
                0,
                false,
                true,
                Optional.of(new Route.BatchTerms(Duration.ofSeconds(60), Duration.ofSeconds(60), false)),
                false);
        return Optional.of(new RouteConfiguration(
                        1,
                        List.of(route),
                        Map.of(POOL, Set.copyOf(models)),
                        new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15)))
                .withEngines(Map.of(POOL, new EngineTerms(33_319, TOKENS_PER_EVENT))));
    }

    private static String key(BatchJobId job, String item, int attempt) {
        return job.value() + "/" + item + "/" + attempt;
    }

    /** The speed of an engine. */
    interface Speed {

        /** Returns by which factor a run at an engine is slower than usual. */
        double slowness(int engine, String run, long millis);
    }

    /** A run that started. */
    record Started(String run, int engine, long at) {}

    /** A run that was cancelled so that its item resumes elsewhere. */
    record Moved(String run, int engine, long startedAt, long at) {}

    /** A run at an engine. */
    private static final class Run {

        private final TestNode node;
        private final BatchEffect.Run effect;
        private final String key;
        private final int engine;
        private final int length;
        private final long startedAt;
        private double events;
        private long cancelledAt = -1;

        private Run(TestNode node, BatchEffect.Run effect, int engine, int length, long startedAt) {
            this.node = node;
            this.effect = effect;
            this.engine = engine;
            this.length = length;
            this.startedAt = startedAt;
            events = effect.lastEventId();
            key = key(effect.id(), effect.item().id(), effect.attempt());
        }
    }
}
