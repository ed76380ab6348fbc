package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.MembershipEvent;
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
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/** Simulates a site whose nodes run batch jobs at two engines, and have outputs scored at three endpoints. */
final class BatchSite {

    static final PoolName POOL = new PoolName("sampler");
    private static final PoolName OTHER_POOL = new PoolName("other");
    static final PoolName SCORERS = new PoolName("scorers");
    static final String MODEL = "model-a";
    static final int MAXIMUM_SCORING_ATTEMPTS = 4;

    /** The deadline of calls, which for calls for results is added to the time for which they wait. */
    static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    final TestSite site = new TestSite();
    final Map<String, Integer> runs = new HashMap<>();
    final List<BatchEffect.Run> started = new ArrayList<>();
    final List<BatchEffect.Cancel> cancelled = new ArrayList<>();
    final List<BatchEffect.Score> scored = new ArrayList<>();
    final List<BatchEffect.CancelScoring> cancelledScorings = new ArrayList<>();
    final PlainBatchCodec codec = new PlainBatchCodec();
    private final List<TestNode> nodes = new ArrayList<>();
    private final Map<Long, BatchAnswer> answers = new HashMap<>();
    private Function<BatchEffect.Run, Optional<BatchEvent.AttemptEnded>> engines =
            run -> Optional.of(completed(run, 1));
    private Function<BatchEffect.Score, Optional<ScoringOutcome>> scorers = score ->
            Optional.of(new ScoringOutcome.Scored("score-" + score.request().id()));
    private Function<BatchEffect.Run, Duration> runTimes = _run -> Duration.ZERO;
    private final List<RunEnd> runEnds = new ArrayList<>();
    private boolean singleVersion;
    private List<Route.PoolShare> pools = List.of(new Route.PoolShare(POOL, 1));
    private boolean scoringRoute = true;
    private final Set<String> addedRoutes = new TreeSet<>();
    private long tickets;

    BatchSite() {
        site.platform().put(RouteConfigurationSystem.KIND, "main", "1");
        registerEngine("engine-1", 1);
        registerEngine("engine-2", 1);
        List.of("scorer-1", "scorer-2", "scorer-3").forEach(this::registerScorer);
        site.connect((_from, _to) -> false);
        site.everyStep(_site -> simulate());
    }

    void demandSingleVersion() {
        singleVersion = true;
    }

    void registerEngine(String name, long version) {
        site.platform().put(EndpointRegistrySystem.KIND, name, Long.toString(version));
    }

    /** Registers an incarnation of an engine. Engines whose names begin with "other" belong to a second pool. */
    void registerEngine(String name, long version, long incarnation) {
        site.platform().put(EndpointRegistrySystem.KIND, name, version + " " + incarnation);
    }

    /** Splits the route of jobs between the two pools. */
    void splitRoute(double weight, double otherWeight) {
        pools = List.of(new Route.PoolShare(POOL, weight), new Route.PoolShare(OTHER_POOL, otherWeight));
    }

    /** Sends the jobs of all routes to the second pool, and writes a version of the configuration. */
    void moveRoutes(int version) {
        pools = List.of(new Route.PoolShare(OTHER_POOL, 1));
        configure(version);
    }

    /** Adds a route for jobs to the configuration. */
    void addRoute(String pathPrefix, int version) {
        addedRoutes.add(pathPrefix);
        configure(version);
    }

    /** Removes a route from the configuration that was added to it. */
    void removeRoute(String pathPrefix, int version) {
        addedRoutes.remove(pathPrefix);
        configure(version);
    }

    private void configure(int version) {
        site.platform().put(RouteConfigurationSystem.KIND, "main", Integer.toString(version));
    }

    void registerScorer(String name) {
        site.platform().put(EndpointRegistrySystem.KIND, name, "0");
    }

    /** Registers an incarnation of a scorer. */
    void registerScorer(String name, long incarnation) {
        registerEngine(name, 0, incarnation);
    }

    /** Removes the route of scoring requests from the configuration, or adds it again. */
    void routeScoring(boolean present, int version) {
        scoringRoute = present;
        configure(version);
    }

    /** Sets the behaviour of the scoring endpoints: the outcome of an attempt, or empty if it stays in progress. */
    void scorers(Function<BatchEffect.Score, Optional<ScoringOutcome>> behaviour) {
        scorers = behaviour;
    }

    /** Sets the behaviour of the engines: the end of an attempt, or empty if it stays in progress. */
    void engines(Function<BatchEffect.Run, Optional<BatchEvent.AttemptEnded>> behaviour) {
        engines = behaviour;
    }

    /** Sets how long an attempt takes until its end is reported, also if it has been cancelled meanwhile. */
    void runTimes(Function<BatchEffect.Run, Duration> times) {
        runTimes = times;
    }

    TestNode node(String name) {
        nodes.removeIf(node -> node.name().equals(name));
        TestNode started = site.start(name, (node, tokens) -> {
            SharedWatches watches = new SharedWatches(node);
            EndpointRegistrySystem registry = new EndpointRegistrySystem(watches, tokens, BatchSite::endpoint);
            RouteConfigurationSystem routes = new RouteConfigurationSystem(watches, tokens, this::configuration);
            QuarantineSystem quarantine = new QuarantineSystem(node, tokens, registry, this::epochMillis);
            return List.of(
                    routes,
                    registry,
                    quarantine,
                    new CheckedBatchSystem(new BatchSystem(
                            node,
                            watches,
                            registry,
                            routes,
                            codec,
                            tokens,
                            quarantine,
                            SchedulingOptions.NONE,
                            () -> 1000)));
        });
        started.accept(new MembershipEvent.SelfJoined(false));
        nodes.add(started);
        return started;
    }

    void kill(TestNode node) {
        nodes.remove(node);
        site.kill(node.name());
    }

    static BatchJob job(String id, int items) {
        return job(id, items, 1);
    }

    static BatchJob job(String id, int items, long minimumVersion) {
        List<BatchItem> list = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            list.add(new BatchItem(
                    id + "-" + i, "/rollouts/x", Map.of(), Bytes.ofUtf8("body" + i), "g" + i / 2, i, Optional.empty()));
        }
        return new BatchJob(new BatchJobId(id), "site.example", "/rollouts/x", MODEL, minimumVersion, 1000, list);
    }

    /** Creates a job that was submitted under a path when a version of the configuration was active. */
    static BatchJob job(String id, int items, String path, long configurationVersion) {
        BatchJob plain = job(id, items);
        return new BatchJob(
                plain.id(),
                plain.host(),
                path,
                plain.model(),
                plain.minimumVersion(),
                plain.submittedAt(),
                plain.items(),
                plain.wantedGroups(),
                configurationVersion);
    }

    /** Creates a job whose items need scores, with two items in each group. */
    static BatchJob scoredJob(String id, int items) {
        BatchJob plain = job(id, items);
        List<BatchItem> list = plain.items().stream()
                .map(item -> new BatchItem(
                        item.id(),
                        item.path(),
                        item.headers(),
                        item.body(),
                        item.group(),
                        item.expectedTokens(),
                        Optional.of(new ScoringRequest(
                                "s-" + item.id(), "site.example", "/score/x?item=1", Bytes.ofUtf8("judge")))))
                .toList();
        return new BatchJob(
                plain.id(), plain.host(), plain.path(), MODEL, plain.minimumVersion(), plain.submittedAt(), list);
    }

    long submit(TestNode node, BatchJob job) {
        node.accept(new BatchEvent.Submitted(++tickets, job, site.now().plus(CALL_TIMEOUT)));
        return tickets;
    }

    long read(TestNode node, String id, int position, Duration wait) {
        node.accept(new BatchEvent.ResultsRequested(
                ++tickets,
                new BatchJobId(id),
                position,
                site.now().plus(wait),
                site.now().plus(wait).plus(CALL_TIMEOUT)));
        return tickets;
    }

    long end(TestNode node, String id) {
        node.accept(new BatchEvent.EndRequested(
                ++tickets, new BatchJobId(id), site.now().plus(CALL_TIMEOUT)));
        return tickets;
    }

    long body(TestNode node, String id, String item) {
        node.accept(new BatchEvent.BodyRequested(
                ++tickets, new BatchJobId(id), item, site.now().plus(CALL_TIMEOUT)));
        return tickets;
    }

    /** Encodes a job as it is stored on the platform. */
    Bytes encode(BatchJob job) {
        return codec.writeJob(job);
    }

    Optional<BatchAnswer> answer(long ticket) {
        return Optional.ofNullable(answers.get(ticket));
    }

    long epochMillis() {
        return site.now().nanoseconds() / 1_000_000;
    }

    void run(int millis) {
        site.run(Duration.ofMillis(millis));
    }

    /** Returns the items in the order in which they are listed on the platform. */
    List<String> listed(String id) {
        return site.platform().all(BatchObjects.results(new BatchJobId(id))).stream()
                .flatMap(object -> codec.readResults(object.value()).orElseThrow().stream())
                .map(BatchResult::item)
                .toList();
    }

    /** Lists results on the platform as a node outside the site would. */
    void list(String id, int number, List<BatchResult> results) {
        site.platform()
                .put(
                        BatchObjects.results(new BatchJobId(id)),
                        BatchObjects.name(number),
                        codec.writeResults(results).toUtf8());
    }

    List<BatchResult> results(String id) {
        return site.platform().all(BatchObjects.results(new BatchJobId(id))).stream()
                .flatMap(object -> codec.readResults(object.value()).orElseThrow().stream())
                .toList();
    }

    static BatchEvent.AttemptEnded completed(BatchEffect.Run run, long version) {
        return ended(run, new AttemptOutcome.Completed(), text(run, 3, version));
    }

    static BatchEvent.AttemptEnded ended(BatchEffect.Run run, AttemptOutcome outcome, ItemText text) {
        return new BatchEvent.AttemptEnded(run.id(), run.item().id(), run.attempt(), outcome, text);
    }

    /** Creates the events after the one that a run resumes from, up to the given last event. */
    static ItemText text(BatchEffect.Run run, long last, long version) {
        List<Bytes> events = new ArrayList<>();
        for (long event = run.lastEventId() + 1; event <= last; event++) {
            events.add(Bytes.ofUtf8("e" + event));
        }
        return new ItemText(Math.max(run.lastEventId(), last), events, events.isEmpty() ? List.of() : List.of(version));
    }

    private void simulate() {
        for (TestNode node : List.copyOf(nodes)) {
            for (BatchEffect.Reply reply : node.take(BatchEffect.Reply.class)) {
                answers.put(reply.ticket(), reply.answer());
            }
            cancelled.addAll(node.take(BatchEffect.Cancel.class));
            cancelledScorings.addAll(node.take(BatchEffect.CancelScoring.class));
            for (BatchEffect.Score score : node.take(BatchEffect.Score.class)) {
                scored.add(score);
                scorers.apply(score)
                        .ifPresent(outcome -> node.accept(new BatchEvent.ScoringEnded(
                                score.id(), score.item(), score.attempt(), outcome, OptionalInt.empty())));
            }
            for (BatchEffect.Run run : node.take(BatchEffect.Run.class)) {
                started.add(run);
                runs.merge(run.item().id(), 1, Integer::sum);
                engines.apply(run)
                        .ifPresent(ended ->
                                runEnds.add(new RunEnd(node, ended, site.now().plus(runTimes.apply(run)))));
            }
        }
        runEnds.removeIf(this::reportIfDue);
    }

    private boolean reportIfDue(RunEnd end) {
        boolean due = !site.now().isBefore(end.at());
        if (due) {
            end.node().accept(end.event());
        }
        return due;
    }

    /** The end of an attempt, which a node that was killed meanwhile does not receive. */
    private record RunEnd(TestNode node, BatchEvent.AttemptEnded event, MonotonicTime at) {}

    private static Optional<RegisteredEndpoint> endpoint(StoredObject object) {
        String name = object.key().name();
        boolean scores = name.startsWith("scorer");
        String[] parts = object.value().toUtf8().split(" ", -1);
        PoolName pool = name.startsWith("other") ? OTHER_POOL : POOL;
        long incarnation = parts.length > 1 ? Long.parseLong(parts[1]) : EndpointName.UNKNOWN;
        return Optional.of(new RegisteredEndpoint(
                new EndpointName(scores ? SCORERS : pool, name, incarnation),
                name + ":80",
                new AvailabilityZone("zone-a"),
                4,
                false,
                scores ? Map.of() : Map.of(MODEL, Long.parseLong(parts[0]))));
    }

    private Optional<RouteConfiguration> configuration(StoredObject object) {
        List<Route> routes = new ArrayList<>();
        routes.add(batchRoute("/rollouts/"));
        addedRoutes.forEach(prefix -> routes.add(batchRoute(prefix)));
        Route scoring = new Route(
                "scoring",
                "site.example",
                "/score/",
                RequestKind.IDEMPOTENT,
                List.of(new Route.PoolShare(SCORERS, 1)),
                Duration.ofSeconds(3),
                Duration.ofMillis(800),
                MAXIMUM_SCORING_ATTEMPTS,
                2,
                false,
                false,
                Optional.empty(),
                false);
        if (scoringRoute) {
            routes.add(scoring);
        }
        return Optional.of(new RouteConfiguration(
                Long.parseLong(object.value().toUtf8()),
                routes,
                Map.of(POOL, Set.of(MODEL), OTHER_POOL, Set.of(MODEL)),
                new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15))));
    }

    private Route batchRoute(String pathPrefix) {
        return new Route(
                "route of " + pathPrefix,
                "site.example",
                pathPrefix,
                RequestKind.BATCH,
                pools,
                Duration.ofSeconds(10),
                Duration.ofMillis(400),
                3,
                1,
                false,
                true,
                Optional.of(new Route.BatchTerms(Duration.ofSeconds(7), Duration.ofSeconds(40), singleVersion)),
                false);
    }
}
