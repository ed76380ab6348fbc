package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.account.AccountDirectory;
import io.yuccaswitch.core.decision.Decision;
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
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Simulates a site whose engines make an event for each item at a fixed interval and hold the prompts, those of a group
 * once, and the outputs so far in memory. Node n runs the job of model n. An engine refuses items beyond its slots, and
 * items that its memory can never hold.
 */
final class MemorySite {

    static final Duration STEP = Duration.ofMillis(10);
    private static final PoolName POOL = new PoolName("sampler");
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
    private static final Duration READING_INTERVAL = Duration.ofMillis(250);

    final TestSite site = new TestSite();
    final List<TestNode> nodes = new ArrayList<>();
    final List<BatchEffect.Run> starts = new ArrayList<>();
    final List<Move> moves = new ArrayList<>();
    final Map<String, Integer> lengths = new HashMap<>();
    final Set<String> finished = new HashSet<>();
    final Map<String, Attempt> running = new LinkedHashMap<>();
    final Map<String, Duration> overfull = new HashMap<>();
    /** How long each item waited while an engine had a free slot for longer than reports between nodes take. */
    final Map<String, Duration> waitingBesideFreeSlots = new HashMap<>();

    int refusals;
    Duration queueTimeout = Duration.ofSeconds(400);

    private final Terms terms;
    private final PlainBatchCodec codec = new PlainBatchCodec();
    private final SchedulingOptions options;
    private final Map<String, BatchItem> submitted = new LinkedHashMap<>();
    private final Map<String, Duration> freeFor = new HashMap<>();
    private Duration sinceReading = Duration.ZERO;

    /** The engines of the site, and how fast they are. */
    record Terms(int engines, int slots, long memory, int tokensPerEvent, Duration eventInterval) {}

    /** A move of an item from an engine, with the share of its output that it had made. */
    record Move(String engine, MonotonicTime at, double share) {}

    /** An attempt at an engine. */
    static final class Attempt {
        final TestNode node;
        final BatchEffect.Run run;
        Duration time = Duration.ZERO;

        private Attempt(TestNode node, BatchEffect.Run run) {
            this.node = node;
            this.run = run;
        }

        String engine() {
            return run.endpoint().name().value();
        }
    }

    MemorySite(Terms terms, boolean engineMemory) {
        this.terms = terms;
        options = new SchedulingOptions(engineMemory, false, false, false);
        site.connect((_from, _to) -> false);
        site.platform().put(RouteConfigurationSystem.KIND, "main", "1");
        engineNames().forEach(engine -> site.platform().put(EndpointRegistrySystem.KIND, engine, "1"));
    }

    /** Starts nodes, and waits until they know each other and the engines. */
    void startNodes(int count) {
        for (int i = 0; i < count; i++) {
            nodes.add(start("node-" + i));
        }
        site.run(Duration.ofMillis(500));
        site.everyStep(_site -> simulate());
    }

    /** Submits a job of model n at node n. */
    void submit(int node, String id, List<BatchItem> items) {
        BatchJob job = new BatchJob(new BatchJobId(id), "site.example", "/x", "model-" + node, 1, 1000, items);
        items.forEach(item -> submitted.put(item.id(), item));
        nodes.get(node).accept(new BatchEvent.Submitted(1, job, site.now().plus(BatchSite.CALL_TIMEOUT)));
    }

    /** Creates an item with its real length in events. */
    BatchItem item(String id, String group, int events, long expectedTokens, long promptTokens) {
        lengths.put(id, events);
        return new BatchItem(id, "/x", Map.of(), Bytes.EMPTY, group, expectedTokens, promptTokens, Optional.empty());
    }

    /** Kills a node, with its attempts. */
    void kill(int node) {
        TestNode killed = nodes.get(node);
        site.kill(killed.name());
        running.values().removeIf(attempt -> attempt.node == killed);
    }

    /** Runs the site until all submitted items are finished, at most for the given time. */
    Duration runUntilFinished(Duration maximum) {
        Duration elapsed = Duration.ZERO;
        while (elapsed.compareTo(maximum) < 0 && !finished.containsAll(submitted.keySet())) {
            site.run(STEP);
            elapsed = elapsed.plus(STEP);
        }
        return elapsed;
    }

    /** Returns the real number of tokens in an engine's memory. */
    long tokens(String engine) {
        Set<String> groups = new HashSet<>();
        long tokens = 0;
        for (Attempt attempt : running.values()) {
            if (attempt.engine().equals(engine)) {
                tokens += events(attempt) * terms.tokensPerEvent();
                tokens += groups.add(attempt.run.item().group())
                        ? attempt.run.item().promptTokens()
                        : 0;
            }
        }
        return tokens;
    }

    /** Returns the largest share of the elapsed time during which an engine's real tokens exceeded its memory. */
    double largestOverfullShare(Duration elapsed) {
        return overfull.values().stream().mapToLong(Duration::toMillis).max().orElse(0) / (double) elapsed.toMillis();
    }

    Duration longestWait() {
        return waitingBesideFreeSlots.isEmpty() ? Duration.ZERO : Collections.max(waitingBesideFreeSlots.values());
    }

    String engineOf(String item) {
        return starts.stream()
                .filter(run -> run.item().id().equals(item))
                .reduce((_first, last) -> last)
                .orElseThrow()
                .endpoint()
                .name()
                .value();
    }

    List<Decision> decisions(String kind) {
        return nodes.stream()
                .flatMap(node -> node.decisions().stream())
                .filter(decision -> decision.kind().equals(kind))
                .toList();
    }

    private List<String> engineNames() {
        return IntStream.range(0, terms.engines())
                .mapToObj(engine -> String.format("engine-%03d", engine))
                .toList();
    }

    private long events(Attempt attempt) {
        return attempt.run.lastEventId() + attempt.time.dividedBy(terms.eventInterval());
    }

    private void simulate() {
        running.values().forEach(attempt -> attempt.time = attempt.time.plus(STEP));
        for (Attempt attempt : List.copyOf(running.values())) {
            if (events(attempt) >= lengths.get(attempt.run.item().id())) {
                finished.add(attempt.run.item().id());
                end(attempt, new AttemptOutcome.Completed());
            }
        }
        for (TestNode node : nodes) {
            for (BatchEffect.Cancel cancel : node.take(BatchEffect.Cancel.class)) {
                Optional.ofNullable(running.get(cancel.item()))
                        .filter(attempt -> attempt.run.attempt() == cancel.attempt())
                        .ifPresent(this::cancel);
            }
            node.take(BatchEffect.Run.class).forEach(run -> begin(node, run));
        }
        sinceReading = sinceReading.plus(STEP);
        if (sinceReading.compareTo(READING_INTERVAL) >= 0) {
            sinceReading = Duration.ZERO;
            nodes.forEach(this::report);
        }
        measure();
    }

    private void begin(TestNode node, BatchEffect.Run run) {
        starts.add(run);
        Attempt attempt = new Attempt(node, run);
        long used = running.values().stream()
                .filter(other -> other.engine().equals(attempt.engine()))
                .count();
        long whole = run.item().promptTokens() + (long) lengths.get(run.item().id()) * terms.tokensPerEvent();
        if (used >= terms.slots() || whole > terms.memory()) {
            refusals++;
            end(attempt, new AttemptOutcome.Refused("no room"));
            return;
        }
        running.put(run.item().id(), attempt);
        node.accept(new BatchEvent.AttemptStarted(run.id(), run.item().id(), run.attempt(), 1));
    }

    private void cancel(Attempt attempt) {
        double share = (double) events(attempt) / lengths.get(attempt.run.item().id());
        moves.add(new Move(attempt.engine(), site.now(), share));
        end(attempt, new AttemptOutcome.Interrupted("cancelled", false));
    }

    private void end(Attempt attempt, AttemptOutcome outcome) {
        running.remove(attempt.run.item().id(), attempt);
        long last = Math.min(events(attempt), lengths.get(attempt.run.item().id()));
        attempt.node.accept(BatchSite.ended(attempt.run, outcome, BatchSite.text(attempt.run, last, 1)));
    }

    private void report(TestNode node) {
        List<BatchEvent.Progress> progress = running.values().stream()
                .filter(attempt -> attempt.node == node)
                .map(attempt -> new BatchEvent.Progress(
                        attempt.run.id(),
                        attempt.run.item().id(),
                        attempt.run.attempt(),
                        events(attempt) - attempt.run.lastEventId(),
                        attempt.time))
                .toList();
        if (!progress.isEmpty()) {
            node.accept(new BatchEvent.Progressed(progress));
        }
    }

    private void measure() {
        Map<String, Integer> used = new HashMap<>();
        running.values().forEach(attempt -> used.merge(attempt.engine(), 1, Integer::sum));
        used.keySet().forEach(engine -> {
            if (tokens(engine) > terms.memory()) {
                overfull.merge(engine, STEP, Duration::plus);
            }
        });
        engineNames().forEach(engine -> {
            boolean free = used.getOrDefault(engine, 0) < terms.slots();
            freeFor.merge(engine, STEP, (before, step) -> free ? before.plus(step) : Duration.ZERO);
        });
        if (freeFor.values().stream().noneMatch(time -> time.compareTo(REPORT_INTERVAL) >= 0)) {
            return;
        }
        submitted.keySet().stream()
                .filter(item -> !finished.contains(item) && !running.containsKey(item))
                .forEach(item -> waitingBesideFreeSlots.merge(item, STEP, Duration::plus));
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
        Map<String, Long> versions = new HashMap<>();
        for (int model = 0; model < 8; model++) {
            versions.put("model-" + model, 1L);
        }
        return Optional.of(new RegisteredEndpoint(
                new EndpointName(
                        POOL, object.key().name(), Long.parseLong(object.value().toUtf8())),
                object.key().name() + ":80",
                new AvailabilityZone("zone-a"),
                terms.slots(),
                false,
                versions));
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
                Optional.of(new Route.BatchTerms(queueTimeout, queueTimeout, false)),
                false);
        Set<String> models = Set.of("model-0", "model-1", "model-2", "model-3");
        return Optional.of(new RouteConfiguration(
                        1,
                        List.of(route),
                        Map.of(POOL, models),
                        new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15)),
                        AccountDirectory.NONE,
                        Map.of())
                .withEngines(
                        terms.memory() == 0
                                ? Map.of()
                                : Map.of(POOL, new EngineTerms(terms.memory(), terms.tokensPerEvent()))));
    }
}
