package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.account.AccountDirectory;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.MembershipEvent;
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
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/**
 * Simulates nodes that run steps of four models at engines of 8 slots, which make an event every 49 ms, refuse items
 * beyond their slots, and report progress every 250 ms.
 */
final class StepSite {

    static final int SLOTS = 8;
    static final int TOKENS_PER_EVENT = 77;
    static final int EVENT_MILLIS = 49;
    static final Duration RESULT_DEADLINE = Duration.ofMillis(7500);
    private static final PoolName POOL = new PoolName("sampler");
    private static final Set<String> MODELS = Set.of("a", "b", "c", "d");

    final TestSite site = new TestSite();
    final List<BatchEffect.Run> started = new ArrayList<>();
    private final Map<String, Long> endMillis = new HashMap<>();
    private final Map<String, TestNode> nodes = new LinkedHashMap<>();
    private final Map<BatchEffect.Run, Attempt> attempts = new LinkedHashMap<>();
    private final Map<String, Integer> lengths = new HashMap<>();
    private final Map<String, BatchJob> jobs = new HashMap<>();
    private final PlainBatchCodec codec = new PlainBatchCodec();
    private final SchedulingOptions options;
    private final Duration resultDeadline;
    private int unestimatedEvents = 147;
    private boolean estimates = true;
    private boolean engineTerms = true;

    StepSite(int engines, boolean stepOrder, Duration resultDeadline) {
        options = new SchedulingOptions(false, false, stepOrder, false);
        this.resultDeadline = resultDeadline;
        site.platform().put(RouteConfigurationSystem.KIND, "main", "1");
        for (int engine = 0; engine < engines; engine++) {
            site.platform().put(EndpointRegistrySystem.KIND, String.format("engine-%02d", engine), "1");
        }
        site.connect((_from, _to) -> false);
        site.everyStep(_site -> simulate());
    }

    TestNode node(String name) {
        TestNode started = site.start(name, (self, tokens) -> {
            SharedWatches watches = new SharedWatches(self);
            EndpointRegistrySystem registry = new EndpointRegistrySystem(watches, tokens, StepSite::endpoint);
            RouteConfigurationSystem routes = new RouteConfigurationSystem(watches, tokens, this::configuration);
            QuarantineSystem quarantine = new QuarantineSystem(self, tokens, registry, this::epochMillis);
            return List.of(
                    routes,
                    registry,
                    quarantine,
                    new CheckedBatchSystem(new BatchSystem(
                            self, watches, registry, routes, codec, tokens, quarantine, options, this::epochMillis)));
        });
        started.accept(new MembershipEvent.SelfJoined(false));
        nodes.put(name, started);
        return started;
    }

    void kill(String name) {
        nodes.remove(name);
        site.kill(name);
        attempts.values().removeIf(attempt -> attempt.node.name().equals(name));
    }

    long epochMillis() {
        return site.now().nanoseconds() / 1_000_000;
    }

    /**
     * Submits a step whose items have the given lengths in events. Every second item carries a correct estimate, the
     * others the maximum.
     */
    BatchJob submit(
            TestNode node, String model, int groups, int size, int wanted, long age, ToIntFunction<Integer> length) {
        List<BatchItem> items = new ArrayList<>();
        for (int i = 0; i < groups * size; i++) {
            String id = model + "-" + i;
            lengths.put(id, length.applyAsInt(i));
            items.add(new BatchItem(
                    id,
                    "/x",
                    Map.of(),
                    Bytes.EMPTY,
                    model + "-g" + i / size,
                    (long) (i % 2 == 0 || !estimates ? unestimatedEvents : lengths.get(id)) * TOKENS_PER_EVENT,
                    Optional.empty()));
        }
        BatchJob job = new BatchJob(
                new BatchJobId("job-" + model),
                "site.example",
                "/x",
                model,
                1,
                epochMillis() - age,
                items,
                OptionalInt.of(wanted),
                BatchJob.UNKNOWN_CONFIGURATION);
        jobs.put(model, job);
        node.accept(new BatchEvent.Submitted(1, job, site.now().plus(Duration.ofSeconds(2))));
        return job;
    }

    void run(int millis) {
        site.run(Duration.ofMillis(millis));
    }

    /** Returns how long after its submission a step had as many whole groups as its trainer waits for. */
    long millisToWantedGroups(String model) {
        BatchJob job = jobs.get(model);
        return job.items().stream()
                        .collect(Collectors.groupingBy(
                                BatchItem::group,
                                Collectors.mapping(
                                        item -> endMillis.getOrDefault(item.id(), Long.MAX_VALUE / 2),
                                        Collectors.reducing(0L, Math::max))))
                        .values()
                        .stream()
                        .sorted()
                        .skip(job.wantedGroups().orElseThrow() - 1L)
                        .findFirst()
                        .orElseThrow()
                - job.submittedAt();
    }

    boolean isEnded(BatchJob job) {
        return job.items().stream().allMatch(item -> endMillis.containsKey(item.id()));
    }

    /** Sets the length in events that is expected of items without an estimate, which is their maximum by default. */
    void unestimatedEvents(int events) {
        unestimatedEvents = events;
    }

    /** Lets all items carry the maximum instead of an estimate. */
    void withoutEstimates() {
        estimates = false;
    }

    /** Removes the terms of the engines from the configuration. */
    void withoutEngineTerms() {
        engineTerms = false;
    }

    List<Decision> decisions(String kind) {
        return nodes.values().stream()
                .flatMap(node -> node.decisions().stream())
                .filter(decision -> decision.kind().equals(kind))
                .toList();
    }

    private void simulate() {
        long now = epochMillis();
        for (TestNode node : List.copyOf(nodes.values())) {
            for (BatchEffect.Cancel cancel : node.take(BatchEffect.Cancel.class)) {
                attempts.keySet()
                        .removeIf(run -> run.id().equals(cancel.id())
                                && run.item().id().equals(cancel.item())
                                && run.attempt() == cancel.attempt());
            }
            for (BatchEffect.Run run : node.take(BatchEffect.Run.class)) {
                started.add(run);
                long inUse = attempts.keySet().stream()
                        .filter(other ->
                                other.endpoint().name().equals(run.endpoint().name()))
                        .count();
                if (inUse >= SLOTS) {
                    node.accept(BatchSite.ended(run, new AttemptOutcome.Refused("status 503"), ItemText.EMPTY));
                } else {
                    attempts.put(run, new Attempt(node, now));
                }
            }
        }
        attempts.entrySet().removeIf(entry -> isComplete(entry.getKey(), entry.getValue(), now));
        if (now % 250 == 0) {
            nodes.values().forEach(node -> report(node, now));
        }
    }

    private boolean isComplete(BatchEffect.Run run, Attempt attempt, long now) {
        int length = lengths.get(run.item().id());
        if ((now - attempt.since) / EVENT_MILLIS + run.lastEventId() < length) {
            return false;
        }
        attempt.node.accept(
                BatchSite.ended(run, new AttemptOutcome.Completed(), BatchSite.text(run, Math.max(1, length), 1)));
        endMillis.putIfAbsent(run.item().id(), now);
        return true;
    }

    private void report(TestNode node, long now) {
        List<BatchEvent.Progress> progress = attempts.entrySet().stream()
                .filter(entry -> entry.getValue().node == node)
                .map(entry -> new BatchEvent.Progress(
                        entry.getKey().id(),
                        entry.getKey().item().id(),
                        entry.getKey().attempt(),
                        (now - entry.getValue().since) / EVENT_MILLIS,
                        Duration.ofMillis(now - entry.getValue().since)))
                .toList();
        if (!progress.isEmpty()) {
            node.accept(new BatchEvent.Progressed(progress));
        }
    }

    private static Optional<RegisteredEndpoint> endpoint(StoredObject object) {
        return Optional.of(new RegisteredEndpoint(
                new EndpointName(POOL, object.key().name(), 1),
                object.key().name() + ":80",
                new AvailabilityZone("zone-a"),
                SLOTS,
                false,
                MODELS.stream().collect(Collectors.toMap(model -> model, _model -> 1L))));
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
                Optional.of(new Route.BatchTerms(resultDeadline, Duration.ofSeconds(40), false)),
                false);
        RouteConfiguration configuration = new RouteConfiguration(
                1,
                List.of(route),
                Map.of(POOL, MODELS),
                new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15)),
                AccountDirectory.NONE,
                Map.of());
        return Optional.of(
                engineTerms
                        ? configuration.withEngines(Map.of(POOL, new EngineTerms(0, TOKENS_PER_EVENT)))
                        : configuration);
    }

    /** An attempt at an engine, with the node that runs it and the time of its start. */
    private record Attempt(TestNode node, long since) {}
}
