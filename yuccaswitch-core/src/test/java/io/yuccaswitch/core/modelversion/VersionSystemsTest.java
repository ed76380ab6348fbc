package io.yuccaswitch.core.modelversion;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.duty.LeaseRelaySystem;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which node gives orders to engines, and which orders. */
final class VersionSystemsTest {

    private static final PoolName POOL = new PoolName("sampler");
    private static final Duration SAFETY_TIME = Duration.ofSeconds(3);

    private final TestSite site = new TestSite();
    private final List<TestNode> nodes = new ArrayList<>();
    private final List<Order> orders = new ArrayList<>();
    private final Map<String, SimulatedEngine> engines = new HashMap<>();
    private boolean unanswered;
    private boolean lost;

    @BeforeEach
    void startEngines() {
        site.platform().put(RouteConfigurationSystem.KIND, "main", "1");
        for (int i = 1; i <= 6; i++) {
            engines.put("engine-" + i, new SimulatedEngine());
            register("engine-" + i);
        }
        site.everyStep(_site -> serveEngines());
    }

    @Test
    void aNamedVersionIsLoadedOnlyByTheModelsShareOfTheEngines() {
        start("node-1");
        run(500);
        name("model-a", 2);
        run(5000);
        assertThat(orders).hasSize(3).allMatch(order -> order.model().equals("model-a") && order.version() == 2);
        assertThat(engines.values().stream().filter(engine -> engine.versions.get("model-a") == 2))
                .hasSize(3);
    }

    @Test
    void eachModelKeepsItsEnginesAcrossVersions() {
        start("node-1");
        run(500);
        for (long version = 2; version <= 5; version++) {
            name("model-a", version);
            name("model-b", version);
            run(6000);
        }
        assertThat(orders).hasSize(4 * 6);
        assertThat(orders.stream().map(order -> order.engine() + order.model()).distinct())
                .hasSize(6);
    }

    @Test
    void concurrentLoadsDoNotExceedTheLimit() {
        start("node-1");
        run(500);
        name("model-a", 2);
        name("model-b", 2);
        run(600);
        assertThat(engines.values().stream().filter(engine -> engine.loadingUntil > 0))
                .hasSizeLessThanOrEqualTo(2);
        run(6000);
        assertThat(orders).hasSize(6);
    }

    @Test
    void aHolderThatThePlatformDoesNotAnswerKeepsItsLeaseThroughOtherNodesAndLoadsNamedVersions() {
        site.connect((_from, _to) -> false);
        start("node-1");
        run(500);
        start("node-2");
        start("node-3");
        run(500);
        site.platform().failWhere((node, _call) -> node.equals("node-1"));
        run(3000);
        name("model-a", 2);
        run(4000);
        assertThat(orders).hasSize(3).allMatch(order -> order.holder().equals("node-1"));
        site.platform().failWhere((_node, _call) -> false);
        name("model-a", 3);
        run(4000);
        assertThat(orders)
                .hasSize(6)
                .allMatch(order -> order.fence() == orders.get(0).fence());
    }

    @Test
    void aHolderThatNeitherThePlatformNorOtherNodesAnswerIsReplaced() {
        site.connect((from, to) -> from.equals("node-1") || to.equals("node-1"));
        start("node-1");
        run(500);
        start("node-2");
        run(500);
        site.platform().failWhere((node, _call) -> node.equals("node-1"));
        name("model-a", 2);
        run(9000);
        assertThat(orders).isNotEmpty().allMatch(order -> order.holder().equals("node-2"));
    }

    @Test
    void aVersionIsLoadedOnlyAfterTheFirstItemsOfTheNextStepHaveBegun() {
        start("node-1");
        run(500);
        name("model-a", 2);
        run(250);
        assertThat(orders).isEmpty();
        run(400);
        assertThat(orders).isNotEmpty();
    }

    /** Guards against a cost of each tick that grows with the lagging engines, as each query reads all open jobs. */
    @Test
    void theDemandIsQueriedOnceInATickForAllEnginesOfAModel() {
        AwaitedModels demand = new AwaitedModels();
        start("node-1", Optional.of(demand));
        run(500);
        name("model-a", 2);
        run(400);
        demand.waitingQueries = 0;
        run(200);
        assertThat(orders).isEmpty();
        assertThat(demand.waitingQueries).as("queries in 20 ticks").isBetween(1, 20);
        demand.jobQueries = 0;
        name("model-a", 3);
        run(30);
        assertThat(demand.jobQueries)
                .as("queries for the two engines that begin in one tick")
                .isEqualTo(1);
    }

    @Test
    void anEngineThatLagsByTwoVersionsIsOrderedImmediately() {
        start("node-1");
        run(500);
        name("model-a", 3);
        run(200);
        assertThat(orders).isNotEmpty();
    }

    @Test
    void enginesThatDoNotAnswerDoNotBlockLoadsOfOthers() {
        start("node-1");
        run(500);
        engines.get("engine-1").unreachable = true;
        engines.get("engine-2").unreachable = true;
        name("model-a", 2);
        name("model-b", 2);
        run(3500);
        assertThat(orders)
                .as("two concurrent loads, each taking one second plus a report")
                .hasSize(4);
    }

    @Test
    void anEngineThatAnswersAgainIsUpdatedToTheVersion() {
        start("node-1");
        run(500);
        engines.get("engine-1").unreachable = true;
        name("model-a", 2);
        name("model-b", 2);
        run(5000);
        engines.get("engine-1").unreachable = false;
        run(3000);
        assertThat(orders).hasSize(6).anyMatch(order -> order.engine().equals("engine-1"));
    }

    @Test
    void eachOrderContainsTheNumberOfOrdersThatTheEngineHasAccepted() {
        start("node-1");
        run(500);
        name("model-a", 2);
        run(5000);
        name("model-a", 3);
        run(5000);
        assertThat(orders.stream().map(Order::expectedSequence).distinct()).containsExactlyInAnyOrder(0L, 1L);
    }

    @Test
    void anOrderWithoutAnAnswerIsFollowedByAReportBeforeTheNext() {
        start("node-1");
        run(500);
        unanswered = true;
        name("model-a", 2);
        run(900);
        unanswered = false;
        run(6000);
        assertThat(engines.values().stream().filter(engine -> engine.versions.get("model-a") == 2))
                .hasSize(3);
        assertThat(engines.values()).allMatch(engine -> engine.accepted <= 1);
    }

    @Test
    void onlyOneNodeGivesOrders() {
        start("node-1");
        start("node-2");
        start("node-3");
        run(500);
        name("model-a", 2);
        run(5000);
        assertThat(orders.stream().map(Order::holder).distinct()).hasSize(1);
        assertThat(orders).hasSize(3);
    }

    @Test
    void noNodeGivesOrdersWhileThePlatformIsUnreachable() {
        start("node-1");
        run(500);
        name("model-a", 2);
        site.platform().failWhere((_node, call) -> call.purpose() != null);
        run(2000);
        int before = orders.size();
        engines.put("engine-7", new SimulatedEngine());
        run(5000);
        assertThat(orders).hasSize(before);
    }

    @Test
    void aSuccessorWaitsForTheSafetyTimeAfterTheLastOrderOfTheFormerHolder() {
        start("node-1");
        run(500);
        TestNode second = start("node-2");
        name("model-a", 3);
        run(300);
        long lastOrder = site.now().nanoseconds();
        assertThat(orders).isNotEmpty().allMatch(order -> order.holder().equals("node-1"));
        nodes.removeIf(node -> node.name().equals("node-1"));
        site.kill("node-1");
        run(9000);
        Order first = orders.stream()
                .filter(order -> order.holder().equals(second.name()))
                .findFirst()
                .orElseThrow();
        assertThat(Duration.ofNanos(first.sentAtNanos() - lastOrder)).isGreaterThan(SAFETY_TIME);
        assertThat(first.fence()).isGreaterThan(orders.get(0).fence());
    }

    @Test
    void aHolderThatWasFrozenGivesNoOrderAfterItsPermissionHasExpired() {
        TestNode first = start("node-1");
        run(500);
        start("node-2");
        run(100);
        first.freeze(true);
        run(8000);
        name("model-a", 2);
        first.freeze(false);
        run(100);
        assertThat(orders.stream().filter(order -> order.holder().equals("node-1")))
                .isEmpty();
        run(6000);
        assertThat(orders).isNotEmpty().allMatch(order -> order.holder().equals("node-2"));
    }

    @Test
    void aHolderWhoseClockStoppedDuringASuspensionGivesNoOrderAfterItsPermissionHasExpired() {
        TestNode first = start("node-1");
        run(500);
        start("node-2");
        run(100);
        name("model-a", 2);
        run(100);
        long before = ordersOf("node-1");
        first.suspend();
        run(8000);
        site.platform().failWhere((node, _call) -> node.equals("node-1"));
        first.resume();
        run(3000);
        assertThat(ordersOf("node-1")).isEqualTo(before);
        assertThat(ordersOf("node-2")).isPositive();
    }

    @Test
    void aHolderThatHoldsTheLeaseAgainLoadsNamedVersions() {
        TestNode first = start("node-1");
        run(500);
        TestNode second = start("node-2");
        run(100);
        first.freeze(true);
        run(8000);
        first.freeze(false);
        run(4000);
        name("model-b", 2);
        run(4000);
        assertThat(orders).isNotEmpty().allMatch(order -> order.holder().equals("node-2"));
        nodes.removeIf(node -> node.equals(second));
        site.kill("node-2");
        run(9000);
        name("model-a", 2);
        run(20000);
        assertThat(ordersOf("node-1")).isPositive();
    }

    private long ordersOf(String node) {
        return orders.stream().filter(order -> order.holder().equals(node)).count();
    }

    @Test
    void aHolderThatWasSuspendedBrieflyContinuesAfterItsLeaseIsRenewed() {
        TestNode first = start("node-1");
        run(500);
        start("node-2");
        run(100);
        first.suspend();
        run(1600);
        first.resume();
        name("model-a", 2);
        run(3000);
        assertThat(orders).isNotEmpty().allMatch(order -> order.holder().equals("node-1"));
    }

    @Test
    void aLeaseReleasedLongAfterTheLastOrderIsAcquiredImmediately() {
        site.connect((_from, _to) -> false);
        TestNode first = start("node-1");
        run(500);
        start("node-2");
        run(1500);
        first.accept(new MembershipEvent.LeaveRequested());
        run(400);
        name("model-a", 3);
        run(700);
        assertThat(orders).isNotEmpty().allMatch(order -> order.holder().equals("node-2"));
    }

    @Test
    void aLeaseReleasedRightAfterAnOrderIsAcquiredOnlyAfterTheSafetyTime() {
        site.connect((_from, _to) -> false);
        TestNode first = start("node-1");
        run(500);
        start("node-2");
        run(1500);
        name("model-a", 3);
        run(300);
        assertThat(orders).isNotEmpty();
        first.accept(new MembershipEvent.LeaveRequested());
        run(9000);
        long last = orders.stream()
                .filter(order -> order.holder().equals("node-1"))
                .mapToLong(Order::sentAtNanos)
                .max()
                .orElseThrow();
        long next = orders.stream()
                .filter(order -> order.holder().equals("node-2"))
                .mapToLong(Order::sentAtNanos)
                .min()
                .orElseThrow();
        assertThat(Duration.ofNanos(next - last))
                .isGreaterThanOrEqualTo(SAFETY_TIME)
                .isLessThan(SAFETY_TIME.plusSeconds(2));
    }

    @Test
    void aReleasedLeaseIsAcquiredAfterTheSafetyTime() {
        TestNode first = start("node-1");
        run(500);
        start("node-2");
        run(100);
        first.accept(new MembershipEvent.LeaveRequested());
        site.markGone("node-1");
        run(5500);
        name("model-a", 2);
        run(1000);
        assertThat(orders).isNotEmpty().allMatch(order -> order.holder().equals("node-2"));
    }

    @Test
    void aSuccessorKeepsTheEnginesOfEachModel() {
        site.platform().remove(EndpointRegistrySystem.KIND, "engine-1");
        start("node-1");
        run(500);
        name("model-a", 2);
        run(5000);
        register("engine-1");
        for (long version = 3; version <= 5; version++) {
            name("model-a", version);
            name("model-b", version);
            run(5000);
        }
        Set<String> before =
                orders.stream().map(order -> order.engine() + order.model()).collect(Collectors.toSet());
        nodes.removeIf(node -> node.name().equals("node-1"));
        site.kill("node-1");
        start("node-2");
        run(7000);
        name("model-a", 6);
        name("model-b", 6);
        run(6000);
        Set<String> after = orders.stream()
                .filter(order -> order.version() == 6)
                .map(order -> order.engine() + order.model())
                .collect(Collectors.toSet());
        assertThat(after).hasSize(6).isSubsetOf(before);
    }

    @ParameterizedTest
    @ValueSource(strings = {"node-1", "node-2", "node-3", "node-4"})
    void aRestartedHolderGivesOrdersAgainImmediately(String holder) {
        start(holder);
        run(500);
        Stream.of("node-1", "node-2", "node-3", "node-4")
                .filter(name -> !name.equals(holder))
                .forEach(this::start);
        name("model-a", 2);
        run(4000);
        nodes.removeIf(node -> node.name().equals(holder));
        site.kill(holder);
        run(500);
        start(holder);
        name("model-a", 3);
        run(1500);
        Order last = orders.get(orders.size() - 1);
        assertThat(last.version()).isEqualTo(3);
        assertThat(last.holder()).isEqualTo(holder);
        assertThat(last.fence()).isGreaterThan(orders.get(0).fence());
    }

    @Test
    void aRenewalWhoseAnswerWasLostDoesNotLoseTheLease() {
        start("node-1");
        run(500);
        site.platform().loseAnswersWhere((_node, call) -> call instanceof PlatformEffect.Write);
        run(1500);
        site.platform().loseAnswersWhere((_node, _call) -> false);
        run(1500);
        name("model-a", 2);
        run(5000);
        assertThat(orders).hasSize(3);
    }

    @Test
    void anEngineThatRestartedUnderItsNameIsOrderedWithItsNewOrderCount() {
        start("node-1");
        run(500);
        name("model-a", 2);
        run(5000);
        engines.values().forEach(engine -> engine.restart(5));
        engines.keySet().forEach(this::register);
        orders.clear();
        run(1000);
        name("model-a", 3);
        run(5000);
        assertThat(orders).hasSize(3).allMatch(order -> order.expectedSequence() == 0 && order.version() == 3);
    }

    @Test
    void aLoadThatAnEarlierIncarnationAcknowledgedIsOrderedAgain() {
        start("node-1");
        run(500);
        name("model-a", 2);
        run(650);
        String loading = orders.get(0).engine();
        engines.get(loading).restart(5);
        register(loading);
        run(6000);
        assertThat(orders).filteredOn(order -> order.engine().equals(loading)).hasSize(2);
        assertThat(engines.get(loading).versions).containsEntry("model-a", 2L);
    }

    @Test
    void aReportOfALaterIncarnationIsAppliedBeforeTheRegistryEntryChanges() {
        engines.values().forEach(engine -> engine.incarnation = 3);
        engines.keySet().forEach(this::register);
        start("node-1");
        run(500);
        engines.values().forEach(engine -> engine.restart(5));
        name("model-a", 2);
        run(5000);
        assertThat(orders).hasSize(3).allMatch(order -> order.expectedSequence() == 0);
        assertThat(engines.values().stream().filter(engine -> engine.versions.get("model-a") == 2))
                .hasSize(3);
    }

    @Test
    void aLateReportOfAnEarlierIncarnationCausesNoOrder() {
        engines.values().forEach(engine -> engine.incarnation = 5);
        engines.keySet().forEach(this::register);
        start("node-1");
        run(500);
        engines.values().forEach(engine -> engine.incarnation = 3);
        name("model-a", 2);
        run(5000);
        assertThat(orders).isEmpty();
    }

    /** Guards against an engine that is taken for updated because an order for an earlier version is answered late. */
    @Test
    void theLateAnswerToAnOrderIsNotTakenForThatToTheOrderOfALaterVersion() {
        TestNode node = start("node-1");
        run(500);
        name("model-a", 2);
        run(5000);
        lost = true;
        name("model-a", 3);
        run(600);
        Order later = orders.get(orders.size() - 1);
        assertThat(later.version()).isEqualTo(3);
        EndpointName engine = new EndpointName(POOL, later.engine(), engines.get(later.engine()).incarnation);
        node.accept(new OrderEvent.Ordered(engine, "model-a", 2, OrderOutcome.HOLDS));
        run(50);
        lost = false;
        run(10_000);
        assertThat(engines.values().stream().filter(found -> found.versions.get("model-a") == 3))
                .hasSize(3);
    }

    private TestNode start(String name) {
        return start(name, Optional.empty());
    }

    private TestNode start(String name, Optional<ModelDemand> demand) {
        TestNode node = site.start(name, (self, tokens) -> {
            SharedWatches watches = new SharedWatches(self);
            EndpointRegistrySystem registry = new EndpointRegistrySystem(watches, tokens, this::endpoint);
            RouteConfigurationSystem routes =
                    new RouteConfigurationSystem(watches, tokens, VersionSystemsTest::configuration);
            DutyLease lease = new DutyLease(self, tokens, SAFETY_TIME);
            return List.of(
                    routes,
                    registry,
                    lease,
                    new LeaseRelaySystem(tokens),
                    new VersionSystems(self, registry, routes, tokens, VersionSystemsTest::version, lease, demand));
        });
        nodes.add(node);
        return node;
    }

    private void name(String model, long version) {
        site.platform().put(VersionSystems.KIND, model, Long.toString(version));
    }

    private void register(String engine) {
        site.platform().put(EndpointRegistrySystem.KIND, engine, engine);
    }

    private void run(int millis) {
        site.run(Duration.ofMillis(millis));
    }

    private void serveEngines() {
        long now = site.now().nanoseconds();
        engines.forEach((name, engine) -> {
            if (engine.finish(now)) {
                register(name);
            }
        });
        for (TestNode node : List.copyOf(nodes)) {
            for (OrderEffect.ReadReport read : node.take(OrderEffect.ReadReport.class)) {
                SimulatedEngine engine = engines.get(read.engine().name().value());
                node.accept(new OrderEvent.ReportRead(
                        read.engine().name(), engine.unreachable ? Optional.empty() : Optional.of(engine.report())));
            }
            for (OrderEffect.LoadVersion order : node.take(OrderEffect.LoadVersion.class)) {
                handleOrder(node, order, now);
            }
        }
    }

    private void handleOrder(TestNode node, OrderEffect.LoadVersion order, long now) {
        EndpointName name = order.engine().name();
        orders.add(new Order(
                name.value(),
                order.model(),
                order.version(),
                order.holder().value(),
                order.fence(),
                order.expectedSequence(),
                now));
        if (lost) {
            return;
        }
        OrderOutcome outcome = engines.get(name.value()).accept(order, now);
        node.accept(new OrderEvent.Ordered(
                name, order.model(), order.version(), unanswered ? OrderOutcome.UNANSWERED : outcome));
    }

    private Optional<RegisteredEndpoint> endpoint(StoredObject object) {
        String name = object.key().name();
        return Optional.of(new RegisteredEndpoint(
                new EndpointName(POOL, name, engines.get(name).incarnation),
                name + ":80",
                new AvailabilityZone("zone-a"),
                4,
                false,
                engines.get(name).versions));
    }

    private static Optional<RouteConfiguration> configuration(StoredObject _object) {
        return Optional.of(new RouteConfiguration(
                1,
                List.of(),
                Map.of(POOL, Set.of("model-a", "model-b")),
                new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15))));
    }

    private static Optional<NamedVersion> version(StoredObject object) {
        return Optional.of(new NamedVersion(
                object.key().name(), Long.parseLong(object.value().toUtf8())));
    }

    private record Order(
            String engine,
            String model,
            long version,
            String holder,
            long fence,
            long expectedSequence,
            long sentAtNanos) {}

    /** A simulated engine whose loads take 900 ms. */
    private static final class SimulatedEngine {

        private static final long LOAD_NANOS = Duration.ofMillis(900).toNanos();

        private final Map<String, Long> versions = new HashMap<>(Map.of("model-a", 1L, "model-b", 1L));
        private boolean unreachable;
        private long incarnation;
        private long accepted;
        private long loadingUntil;
        private String model = "";
        private long version;

        EngineReport report() {
            return new EngineReport(incarnation, loadingUntil > 0, accepted, versions);
        }

        void restart(long newIncarnation) {
            incarnation = newIncarnation;
            accepted = 0;
            loadingUntil = 0;
        }

        OrderOutcome accept(OrderEffect.LoadVersion order, long now) {
            if (loadingUntil > 0 || order.expectedSequence() != accepted) {
                return OrderOutcome.CONFLICT;
            }
            accepted++;
            loadingUntil = now + LOAD_NANOS;
            model = order.model();
            version = order.version();
            return OrderOutcome.STARTED;
        }

        boolean finish(long now) {
            if (loadingUntil == 0 || now < loadingUntil) {
                return false;
            }
            loadingUntil = 0;
            versions.put(model, version);
            return true;
        }
    }

    /** A demand with an open job of each model, whose items wait. */
    private static final class AwaitedModels implements ModelDemand {

        private int waitingQueries;
        private int jobQueries;

        @Override
        public boolean hasOpenJob(String _model) {
            jobQueries++;
            return true;
        }

        @Override
        public int waiting(String _model) {
            waitingQueries++;
            return 1;
        }

        @Override
        public int reportingNodes() {
            return 0;
        }

        @Override
        public List<NodeName> runners() {
            return List.of();
        }

        @Override
        public void followUntil(MonotonicTime _until) {}
    }
}
