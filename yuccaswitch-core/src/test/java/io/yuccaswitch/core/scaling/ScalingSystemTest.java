package io.yuccaswitch.core.scaling;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.account.AccountDirectory;
import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.duty.DutyOutcome;
import io.yuccaswitch.core.duty.LeaseRelaySystem;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which node orders which endpoints from the cloud, and when. */
final class ScalingSystemTest {

    private static final PoolName POOL = new PoolName("sampler");
    private static final AvailabilityZone NEAR = new AvailabilityZone("near");
    private static final AvailabilityZone FAR = new AvailabilityZone("far");

    private final TestSite site = new TestSite();
    private final List<TestNode> nodes = new ArrayList<>();
    private final List<ScalingEffect.Order> orders = new ArrayList<>();
    private DutyOutcome outcome = DutyOutcome.DONE;
    private int demand;

    @BeforeEach
    void startNodes() {
        site.connect((_from, _to) -> false);
        site.platform().put(RouteConfigurationSystem.KIND, "main", "1");
        site.everyStep(_site -> nodes.forEach(this::serveCloud));
        register("near-1", "near");
        start("node-1");
        site.run(Duration.ofMillis(200));
        start("node-2");
        start("node-3");
    }

    @Test
    void nothingIsOrderedWhileEndpointsStillRegister() {
        demand = 16;
        site.run(Duration.ofSeconds(4));
        assertThat(orders).isEmpty();
        register("near-2", "near");
        register("far-1", "far");
        register("far-2", "far");
        site.run(Duration.ofSeconds(10));
        assertThat(orders).isEmpty();
    }

    @Test
    void demandIsOrderedOnceInEachZone() {
        register("far-1", "far");
        site.run(Duration.ofSeconds(8));
        demand = 60;
        site.run(Duration.ofSeconds(5));
        assertThat(orders).extracting(ScalingEffect.Order::zone).containsExactlyInAnyOrder(NEAR, FAR);
        assertThat(orders).extracting(ScalingEffect.Order::desired).containsOnly(4);
        assertThat(orders).extracting(ScalingEffect.Order::fence).containsOnly(1L);
    }

    @Test
    void fluctuatingDemandDoesNotCauseAlternatingOrders() {
        register("far-1", "far");
        site.run(Duration.ofSeconds(8));
        for (int step = 0; step < 20; step++) {
            demand = step % 2 == 0 ? 60 : 0;
            site.run(Duration.ofSeconds(3));
        }
        assertThat(orders).extracting(ScalingEffect.Order::desired).containsOnly(4);
        assertThat(orders.size()).isLessThan(20);
    }

    @Test
    void fewerEndpointsAreOrderedAfterDemandHasBeenLowForTheRetentionTime() {
        register("far-1", "far");
        register("far-2", "far");
        register("far-3", "far");
        register("near-2", "near");
        demand = 8;
        site.run(Duration.ofSeconds(115));
        assertThat(orders).isEmpty();
        site.run(Duration.ofSeconds(15));
        assertThat(orders).extracting(ScalingEffect.Order::desired).containsOnly(1);
        assertThat(orders).hasSize(2);
    }

    @Test
    void aLostOrderIsRepeatedUntilItTakesEffect() {
        register("far-1", "far");
        site.run(Duration.ofSeconds(8));
        demand = 32;
        outcome = DutyOutcome.UNANSWERED;
        site.run(Duration.ofSeconds(5));
        int lostOrders = orders.size();
        assertThat(lostOrders).isGreaterThan(2);
        outcome = DutyOutcome.DONE;
        register("near-2", "near");
        register("far-2", "far");
        site.run(Duration.ofSeconds(3));
        int ordersInEffect = orders.size();
        site.run(Duration.ofSeconds(30));
        assertThat(orders).hasSize(ordersInEffect);
    }

    @Test
    void unavailableEndpointsAreOrderedAtALowRate() {
        register("far-1", "far");
        site.run(Duration.ofSeconds(8));
        demand = 32;
        outcome = DutyOutcome.EXHAUSTED;
        site.run(Duration.ofSeconds(20));
        assertThat(orders.size()).isBetween(6, 10);
    }

    @Test
    void lostEndpointsAreOrderedAgain() {
        register("far-1", "far");
        register("far-2", "far");
        register("near-2", "near");
        demand = 32;
        site.run(Duration.ofSeconds(8));
        assertThat(orders).isEmpty();
        site.platform().remove(EndpointRegistrySystem.KIND, "far-2");
        site.run(Duration.ofSeconds(15));
        assertThat(orders).isNotEmpty().allMatch(order -> order.zone().equals(FAR) && order.desired() == 2);
    }

    @Test
    void aSuccessorOrdersWithAHigherFencingNumber() {
        register("far-1", "far");
        site.run(Duration.ofSeconds(8));
        demand = 16;
        site.kill("node-1");
        nodes.removeIf(node -> node.name().equals("node-1"));
        site.run(Duration.ofSeconds(8));
        demand = 64;
        site.run(Duration.ofSeconds(10));
        assertThat(orders).isNotEmpty().allMatch(order -> order.fence() == 2);
    }

    private void start(String name) {
        nodes.add(site.start(name, (self, tokens) -> {
            SharedWatches watches = new SharedWatches(self);
            EndpointRegistrySystem registry = new EndpointRegistrySystem(watches, tokens, ScalingSystemTest::endpoint);
            RouteConfigurationSystem routes =
                    new RouteConfigurationSystem(watches, tokens, ScalingSystemTest::configuration);
            DutyLease lease = new DutyLease(self, tokens, Duration.ofSeconds(3));
            return List.of(
                    routes,
                    registry,
                    lease,
                    new LeaseRelaySystem(tokens),
                    new ScalingSystem(lease, registry, routes, _pool -> demand));
        }));
    }

    private void serveCloud(TestNode node) {
        for (ScalingEffect.Order order : node.take(ScalingEffect.Order.class)) {
            orders.add(order);
            node.accept(new ScalingEvent.Ordered(order.pool(), order.zone(), outcome));
        }
    }

    private void register(String endpoint, String zone) {
        site.platform().put(EndpointRegistrySystem.KIND, endpoint, zone);
    }

    private static Optional<RegisteredEndpoint> endpoint(StoredObject object) {
        return Optional.of(new RegisteredEndpoint(
                new EndpointName(POOL, object.key().name(), 1),
                object.key().name() + ":1",
                new AvailabilityZone(object.value().toUtf8()),
                8,
                false,
                Map.of()));
    }

    private static Optional<RouteConfiguration> configuration(StoredObject _object) {
        return Optional.of(new RouteConfiguration(
                1,
                List.of(),
                Map.of(),
                new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15)),
                AccountDirectory.NONE,
                Map.of(POOL, new ScalingTerms(1, 5, Duration.ofSeconds(4), Map.of(NEAR, 1.0, FAR, 0.5)))));
    }
}
