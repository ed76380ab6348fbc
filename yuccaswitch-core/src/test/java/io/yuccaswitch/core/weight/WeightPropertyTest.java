package io.yuccaswitch.core.weight;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.NodeIdentity;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class WeightPropertyTest {

    private static final int NODES = 4;

    private static final List<BiConsumer<TestSite, TestNode>> FAULTS = List.of(
            (site, node) -> site.pause(node, Duration.ofSeconds(15)),
            (site, node) -> site.pause(node, Duration.ofMinutes(1)),
            (site, _node) -> site.pauseBeforeOrder = Optional.of(Duration.ofSeconds(30)),
            (site, _node) -> site.platform.unreachable = !site.platform.unreachable,
            (site, _node) -> site.platform.answersToLose = 2,
            (_site, node) -> node.partitioned = !node.partitioned,
            (_site, node) -> node.partitionedFromPlatform = !node.partitionedFromPlatform,
            WeightPropertyTest::restart,
            (site, _node) -> site.engine("e0").restart(),
            (site, node) -> site.publish(node, "t", newest(site) + 1));

    private final Map<Long, NodeIdentity> holders = new HashMap<>();

    @Property(tries = 60, seed = "20261202")
    void fencingNumbersBelongToOneHolderAndOrdersDoNotInterleave(@ForAll("schedules") List<Fault> faults) {
        holders.clear();
        TestSite site = site();
        for (Fault fault : faults) {
            TestNode node = site.nodes.get("n" + fault.node());
            FAULTS.get(fault.kind()).accept(site, node);
            site.run(Duration.ofSeconds(fault.secondsAfter()), this::check);
        }
        heal(site);
        site.publish(site.nodes.get("n0"), "t", newest(site) + 1);
        site.run(Duration.ofMinutes(3), this::check);
        assertThat(site.allHold("m", newest(site))).isTrue();
        site.engines.values().forEach(engine -> assertThat(engine.applied)
                .extracting(FakeEngine.Applied::fencingNumber)
                .isSorted());
    }

    @Provide
    Arbitrary<List<Fault>> schedules() {
        Arbitrary<Fault> fault = Combinators.combine(
                        Arbitraries.integers().between(0, FAULTS.size() - 1),
                        Arbitraries.integers().between(0, NODES - 1),
                        Arbitraries.of(0, 1, 5, 20, 60))
                .as(Fault::new);
        return fault.list().ofMinSize(1).ofMaxSize(12);
    }

    private void check(TestSite site) {
        for (TestNode node : site.nodes.values()) {
            node.held(TestSite.POOL, site.now).ifPresent(lease -> {
                NodeIdentity owner = holders.computeIfAbsent(lease.fencingNumber(), _number -> node.identity);
                assertThat(owner).as("holder of " + lease.fencingNumber()).isEqualTo(node.identity);
            });
        }
    }

    private static TestSite site() {
        TestSite site = new TestSite();
        site.sendsLateOrders = true;
        site.addEngine("e0", Map.of("m", 1L));
        site.addEngine("e1", Map.of("m", 1L));
        site.addTrainer("t", "m", 1);
        for (int index = 0; index < NODES; index++) {
            site.addNode("n" + index);
        }
        site.configure();
        site.run(Duration.ofSeconds(5));
        return site;
    }

    private static void heal(TestSite site) {
        site.platform.unreachable = false;
        site.nodes.values().forEach(node -> {
            node.partitioned = false;
            node.partitionedFromPlatform = false;
            node.pausedUntil = site.now;
        });
    }

    private static void restart(TestSite site, TestNode node) {
        long incarnation = node.identity.incarnation() + 1;
        site.kill(node);
        site.addNode(node.identity.name().value(), incarnation);
    }

    private static long newest(TestSite site) {
        return site.nodes.values().stream()
                .flatMap(node -> node.versions.view().stream())
                .mapToLong(PublishedVersion::version)
                .max()
                .orElse(1);
    }

    record Fault(int kind, int node, int secondsAfter) {}
}
