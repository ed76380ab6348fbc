package io.yuccaswitch.core.weight;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.FencingSupport;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class WeightRolloutTest {

    private final TestSite site = new TestSite();

    @Test
    void aPublishedVersionIsRolledOutToAllEnginesInWaves() {
        prepare(6);
        site.publish(site.nodes.get("n2"), "t", 2);
        site.run(Duration.ofSeconds(15), _site -> {
            assertThat(loading()).isLessThanOrEqualTo(site.concurrentLoads);
            assertThat(site.engines.size() - loading()).isGreaterThanOrEqualTo(3);
        });
        assertThat(site.allHold("m", 2)).isTrue();
        assertThat(site.engines.values())
                .allSatisfy(engine -> assertThat(engine.orders).isEqualTo(1));
    }

    @Test
    void theServingFloorLimitsAWaveBelowTheLimitOfTheWeightStore() {
        site.concurrentLoads = 100;
        site.servingFloor = 0.75;
        prepare(8);
        site.publish(site.nodes.get("n1"), "t", 2);
        site.run(Duration.ofSeconds(15), _site -> assertThat(loading()).isLessThanOrEqualTo(2));
        assertThat(site.allHold("m", 2)).isTrue();
    }

    @Test
    void aPoolOfOneEngineIsUpdatedToNewVersions() {
        prepare(1);
        site.publish(site.nodes.get("n1"), "t", 2);
        site.run(Duration.ofSeconds(5));
        assertThat(site.allHold("m", 2)).isTrue();
    }

    @Test
    void aNewerVersionSupersedesARolloutAndNoEngineIsDowngraded() {
        prepare(6);
        site.publish(site.nodes.get("n1"), "t", 2);
        site.run(Duration.ofMillis(1500));
        site.publish(site.nodes.get("n2"), "t", 3);
        site.publish(site.nodes.get("n3"), "t", 2);
        site.run(Duration.ofSeconds(20));
        assertThat(site.allHold("m", 3)).isTrue();
        site.engines.values().forEach(engine -> assertThat(engine.applied)
                .extracting(FakeEngine.Applied::version)
                .isSorted());
    }

    @Test
    void anEngineWithAVersionNewerThanThePublishedOneGetsNoOrder() {
        prepare(2);
        site.engine("e0").versions.put("m", 9L);
        site.run(Duration.ofSeconds(2));
        site.publish(site.nodes.get("n1"), "t", 2);
        site.run(Duration.ofSeconds(20));
        assertThat(site.engine("e0").orders).isZero();
        assertThat(site.engine("e1").versions).containsEntry("m", 2L);
    }

    @Test
    void anEngineThatAlwaysFailsDoesNotBlockTheRolloutToOthers() {
        site.concurrentLoads = 1;
        prepare(4);
        site.engine("e0").failing = true;
        site.publish(site.nodes.get("n1"), "t", 2);
        site.run(Duration.ofMinutes(10));
        assertThat(site.engine("e3").versions).containsEntry("m", 2L);
        assertThat(site.engine("e0").orders).isBetween(5, 11);
        site.publish(site.nodes.get("n1"), "t", 3);
        site.run(Duration.ofSeconds(10));
        assertThat(site.engines.values().stream().filter(engine -> engine.versions.get("m") == 3))
                .hasSize(3);
    }

    @Test
    void anEngineThatAcceptsAnOrderWithoutLoadingIsUncertainAndOrderedAgain() {
        prepare(3);
        FakeEngine faulty = site.engine("e1");
        faulty.acceptsWithoutLoading = true;
        site.publish(site.nodes.get("n1"), "t", 2);
        site.run(Duration.ofSeconds(10));
        WeightTables tables = site.holder().orElseThrow().tables;
        assertThat(tables.confirmedVersion(name("e1"), "m")).isEmpty();
        assertThat(tables.confirmedVersion(name("e0"), "m")).contains(2L);
        faulty.acceptsWithoutLoading = false;
        site.run(Duration.ofSeconds(30));
        assertThat(tables.confirmedVersion(name("e1"), "m")).contains(2L);
    }

    @Test
    void anEngineThatRestartsWithOldWeightsIsUpdatedToTheNewestVersionAgain() {
        prepare(3);
        site.publish(site.nodes.get("n1"), "t", 2);
        site.run(Duration.ofSeconds(10));
        site.engine("e2").restart();
        assertThat(site.allHold("m", 2)).isFalse();
        site.run(Duration.ofSeconds(10));
        assertThat(site.allHold("m", 2)).isTrue();
    }

    @Test
    void anEngineThatRestartsDuringALoadIsOrderedAgain() {
        prepare(1);
        site.publish(site.nodes.get("n1"), "t", 2);
        site.run(Duration.ofMillis(600));
        assertThat(site.engine("e0").loads).isNotEmpty();
        site.engine("e0").restart();
        site.run(Duration.ofSeconds(20));
        assertThat(site.allHold("m", 2)).isTrue();
    }

    @Test
    void aHolderPausedImmediatelyBeforeAnOrderDoesNotSendItAfterItsLeaseEnds() {
        prepare(4);
        TestNode holder = rollOutAroundPausedHolder();
        assertThat(site.allHold("m", 3)).isTrue();
        assertThat(holder.raised)
                .anyMatch(event ->
                        event instanceof WeightEvent.OrderEnded ended && ended.result() == OrderResult.NOT_SENT);
    }

    @Test
    void anOrderSentAfterTheLeaseEndsIsRejectedByAnEngineThatChecksFencing() {
        prepare(4);
        site.sendsLateOrders = true;
        rollOutAroundPausedHolder();
        assertThat(site.allHold("m", 3)).isTrue();
        site.engines.values().forEach(engine -> assertThat(engine.applied)
                .extracting(FakeEngine.Applied::fencingNumber)
                .isSorted());
        site.engines.values().forEach(engine -> assertThat(engine.applied)
                .extracting(FakeEngine.Applied::version)
                .isSorted());
    }

    @Test
    void anOrderSentAfterTheLeaseEndsIsRevertedAtAnEngineThatIgnoresFencing() {
        site.fencing = FencingSupport.IGNORED;
        prepare(4);
        site.sendsLateOrders = true;
        rollOutAroundPausedHolder();
        assertThat(site.engines.values().stream()
                        .flatMap(engine -> engine.applied.stream())
                        .filter(applied -> applied.version() == 2))
                .as("the late order took effect")
                .isNotEmpty();
        assertThat(site.allHold("m", 3)).isTrue();
    }

    @Test
    void anOutdatedOrderExecutedLateByAnEngineThatIgnoresFencingIsCorrected() {
        site.fencing = FencingSupport.IGNORED;
        prepare(2);
        site.publish(site.nodes.get("n1"), "t", 2);
        site.publish(site.nodes.get("n1"), "t", 3);
        site.run(Duration.ofSeconds(10));
        site.engine("e0").versions.put("m", 2L);
        site.run(Duration.ofSeconds(10));
        assertThat(site.allHold("m", 3)).isTrue();
    }

    @Test
    void aNewHolderWaitsForTheOrderTimeoutAtEnginesThatIgnoreFencing() {
        site.fencing = FencingSupport.IGNORED;
        prepare(2);
        TestNode holder = site.holder().orElseThrow();
        site.kill(holder);
        site.publish(site.nodes.values().iterator().next(), "t", 2);
        List<Duration> waits = new ArrayList<>();
        site.run(Duration.ofMinutes(1), current -> {
            if (loading() > 0) {
                current.holder()
                        .flatMap(node -> node.held(TestSite.POOL, current.now))
                        .ifPresent(lease -> waits.add(current.now.since(lease.since())));
            }
        });
        assertThat(waits.get(0)).isGreaterThanOrEqualTo(TestSite.ORDER_TIMEOUT);
        assertThat(site.allHold("m", 2)).isTrue();
    }

    @Test
    void aPublicationDuringAnHourOfPlatformOutageIsRolledOutToAllEngines() {
        prepare(4);
        site.platform.unreachable = true;
        site.run(Duration.ofMinutes(30));
        site.publish(site.nodes.get("n3"), "t", 2);
        site.run(Duration.ofSeconds(20));
        assertThat(site.allHold("m", 2)).isTrue();
        site.run(Duration.ofMinutes(30));
        site.platform.unreachable = false;
        site.run(Duration.ofMinutes(1));
        assertThat(site.platform
                        .find(VersionStore.KIND, "t")
                        .orElseThrow()
                        .value()
                        .toUtf8())
                .startsWith("1 2 ");
        site.publish(site.nodes.get("n3"), "t", 3);
        site.run(Duration.ofSeconds(20));
        assertThat(site.allHold("m", 3)).isTrue();
    }

    @Test
    void aPublicationIsRolledOutAlthoughTheHolderDiesDuringAPlatformOutage() {
        prepare(4);
        site.platform.unreachable = true;
        site.run(Duration.ofMinutes(2));
        site.kill(site.holder().orElseThrow());
        site.publish(site.nodes.values().iterator().next(), "t", 2);
        site.run(Duration.ofMinutes(1));
        assertThat(site.allHold("m", 2)).isTrue();
    }

    @Test
    void aPublicationIsSafeOnlyOnceAnotherNodeOrThePlatformHasIt() {
        prepare(1);
        TestNode publisher = site.nodes.get("n1");
        publisher.partitioned = true;
        publisher.partitionedFromPlatform = true;
        site.publish(publisher, "t", 2);
        site.run(Duration.ofSeconds(10));
        WeightEvent.PublicationSafe safe = new WeightEvent.PublicationSafe(new TrainerName("t"), 2);
        assertThat(publisher.raised).doesNotContain(safe);
        publisher.partitioned = false;
        site.run(Duration.ofSeconds(2));
        assertThat(publisher.raised).contains(safe);
    }

    @Test
    void aPublicationOlderThanTheNewestVersionIsRejected() {
        prepare(1);
        site.publish(site.nodes.get("n1"), "t", 5);
        site.run(Duration.ofSeconds(1));
        site.publish(site.nodes.get("n2"), "t", 4);
        site.run(Duration.ofSeconds(1));
        assertThat(site.nodes.get("n2").raised)
                .contains(new WeightEvent.PublicationRefused(new TrainerName("t"), 4, 5));
    }

    @Test
    void aRestartedSiteRestoresVersionsFromThePlatform() {
        prepare(2);
        site.publish(site.nodes.get("n1"), "t", 2);
        site.run(Duration.ofSeconds(5));
        List.copyOf(site.nodes.values()).forEach(site::kill);
        site.engines.values().forEach(FakeEngine::restart);
        site.addNode("n1", 2);
        site.addNode("n2", 2);
        site.run(Duration.ofSeconds(40));
        assertThat(site.allHold("m", 2)).isTrue();
    }

    /**
     * Pauses the holder immediately before its first order of version 2 until another node has rolled out version 3.
     */
    private TestNode rollOutAroundPausedHolder() {
        site.pauseBeforeOrder = Optional.of(Duration.ofSeconds(60));
        TestNode holder = site.holder().orElseThrow();
        site.publish(holder, "t", 2);
        site.run(Duration.ofSeconds(5));
        assertThat(holder.isPaused(site.now)).isTrue();
        TestNode other = site.nodes.values().stream()
                .filter(node -> node != holder)
                .findFirst()
                .orElseThrow();
        site.publish(other, "t", 3);
        site.run(Duration.ofSeconds(50));
        assertThat(site.allHold("m", 3)).isTrue();
        site.run(Duration.ofSeconds(60));
        return holder;
    }

    private void prepare(int engines) {
        for (int index = 0; index < engines; index++) {
            site.addEngine("e" + index, Map.of("m", 1L));
        }
        site.addTrainer("t", "m", 1);
        for (int index = 1; index <= 3; index++) {
            site.addNode("n" + index);
        }
        site.configure();
        site.run(Duration.ofSeconds(8));
    }

    private int loading() {
        return site.engines.values().stream()
                .mapToInt(engine -> engine.loads.size())
                .sum();
    }

    private static EndpointName name(String engine) {
        return new EndpointName(new PoolName(TestSite.POOL), engine);
    }
}
