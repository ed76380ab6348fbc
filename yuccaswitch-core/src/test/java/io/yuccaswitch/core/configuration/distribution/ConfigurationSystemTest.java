package io.yuccaswitch.core.configuration.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.ConfigurationMessage;
import io.yuccaswitch.core.driver.CoreDriver;
import io.yuccaswitch.core.driver.DrivenNode;
import io.yuccaswitch.core.driver.DrivenPlatform;
import io.yuccaswitch.core.driver.Envelopes;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ConfigurationSystemTest {

    private static final Duration RUN_LIMIT = Duration.ofSeconds(60);
    private static final Duration MAXIMUM_PROPAGATION_TIME = Duration.ofSeconds(5);

    private final CoreDriver driver = new CoreDriver(11);

    @Test
    void anAcceptedGenerationIsActiveOnAllNodesWithinSeconds() {
        startServing(24, 4, 1);
        driver.platform().configure(Envelopes.of(2));

        assertThat(timeUntilActive(2)).isLessThan(MAXIMUM_PROPAGATION_TIME);
        assertThat(driver.nodes())
                .allSatisfy(node -> assertThat(node.generations()).containsExactly(1L, 2L));
    }

    @Test
    void onlyTwoNodesOfEachAvailabilityZoneWatchThePlatform() {
        startServing(30, 3, 1);
        driver.run(Duration.ofSeconds(20));
        driver.platform().resetCalls();
        driver.run(Duration.ofSeconds(50));

        assertThat(driver.platform().calls(DrivenPlatform.Kind.WATCH)).isBetween(3 * 2 * 4, 3 * 2 * 6);
        assertThat(driver.platform().calls(DrivenPlatform.Kind.LIST)).isZero();
    }

    @Test
    void aNodeJoinsAndServesWhileThePlatformIsDown() {
        startServing(6, 2, 5);
        driver.platform().down();
        DrivenNode late = driver.start("late", "zone-0", 1, List.of(DrivenNode.address("vm-1")));

        assertThat(driver.runUntil(() -> late.configuration().isReady(), RUN_LIMIT))
                .isLessThan(Duration.ofSeconds(8));
        assertThat(late.generations()).containsExactly(5L);
    }

    @Test
    void anOutageDuringAChangeAndARestartOfHalfOfTheNodesReactivatesNoOlderGeneration() {
        List<DrivenNode> fleet = startServing(8, 2, 1);
        driver.platform().configure(Envelopes.of(2));
        driver.runUntil(() -> fleet.get(0).configuration().generation() == 2, RUN_LIMIT);
        driver.platform().down();
        timeUntilActive(2);
        List<DrivenNode> restarted = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            driver.kill(fleet.get(i));
            restarted.add(driver.start("vm-" + i, "zone-" + i % 2, 2000, List.of(DrivenNode.address("vm-5"))));
        }

        assertThat(driver.runUntil(
                        () -> restarted.stream()
                                .allMatch(node -> node.configuration().isReady()),
                        RUN_LIMIT))
                .isLessThan(Duration.ofSeconds(12));
        assertThat(restarted).allSatisfy(node -> assertThat(node.generations()).containsExactly(2L));
    }

    @Test
    void aLaggingReplicaDoesNotActivateAnOlderGenerationOnARestartedNode() {
        List<DrivenNode> fleet = startServing(4, 2, 1);
        driver.platform().freezeReplica();
        driver.platform().configure(Envelopes.of(2));
        timeUntilActive(2);
        driver.kill(fleet.get(3));
        DrivenNode restarted = driver.start("vm-3", "zone-1", 2000, List.of(DrivenNode.address("vm-0")));

        driver.runUntil(() -> restarted.configuration().isReady(), RUN_LIMIT);
        assertThat(restarted.configuration().generation()).isEqualTo(2);
    }

    @Test
    void aZoneThatCannotReachThePlatformReceivesGenerationsFromOtherZones() {
        startServing(9, 3, 1);
        driver.platform().downFor(node -> node.zone().equals("zone-1"));
        driver.platform().configure(Envelopes.of(2));

        assertThat(timeUntilActive(2)).isLessThan(MAXIMUM_PROPAGATION_TIME);
    }

    @Test
    void aPartitionedZoneCatchesUpAndNeverDowngradesOtherZones() {
        startServing(9, 3, 1);
        driver.partitionZone("zone-2");
        driver.platform().downFor(node -> node.zone().equals("zone-2"));
        driver.run(Duration.ofSeconds(10));
        driver.platform().configure(Envelopes.of(2));
        driver.run(Duration.ofSeconds(10));
        assertThat(driver.nodes())
                .allMatch(node ->
                        node.configuration().generation() == (node.zone().equals("zone-2") ? 1 : 2));

        driver.heal();
        assertThat(timeUntilActive(2)).isLessThan(Duration.ofSeconds(15));
        assertThat(driver.nodes())
                .allSatisfy(node -> assertThat(node.generations()).containsExactly(1L, 2L));
    }

    @Test
    void aChangeDuringAnOutageIsActiveSoonAfterTheOutageEnds() {
        startServing(8, 2, 1);
        driver.platform().down();
        driver.run(Duration.ofMinutes(2));
        driver.platform().configure(Envelopes.of(2));
        driver.platform().up();

        assertThat(timeUntilActive(2)).isLessThan(Duration.ofSeconds(6));
    }

    @Test
    void aStartedNodeDoesNotServeBeforeItsGenerationIsConfirmed() {
        driver.platform().down();
        DrivenNode node = driver.start("vm-0", "zone-0", 1, List.of());
        node.accept(new ConfigurationEvent.SnapshotFound(Envelopes.of(3)));
        driver.run(RUN_LIMIT);
        assertThat(node.configuration().generation()).isEqualTo(3);
        assertThat(node.configuration().isReady()).isFalse();

        driver.platform().configure(Envelopes.of(4));
        driver.platform().up();
        driver.runUntil(() -> node.configuration().isReady(), RUN_LIMIT);
        assertThat(node.configuration().generation()).isEqualTo(4);
    }

    @Test
    void aStartedNodeWaitsForASlowPlatformAlthoughALaggingNodeConfirms() {
        List<DrivenNode> lagging = startServing(4, 1, 1);
        driver.platform().downFor(lagging::contains);
        driver.platform().configure(Envelopes.of(2));
        driver.platform().slow(Duration.ofMillis(1500));
        DrivenNode late = driver.start("late", "zone-0", 1, List.of(DrivenNode.address("vm-1")));

        driver.runUntil(() -> late.configuration().isReady(), RUN_LIMIT);
        assertThat(late.configuration().generation()).isEqualTo(2);
    }

    @Test
    void anOlderSnapshotIsReplacedAndASnapshotNewerThanALaggingPlatformIsKept() {
        driver.platform().configure(Envelopes.of(6));
        DrivenNode old = driver.start("vm-0", "zone-0", 1, List.of());
        old.accept(new ConfigurationEvent.SnapshotFound(Envelopes.of(2)));
        driver.runUntil(() -> old.configuration().isReady(), RUN_LIMIT);
        assertThat(old.configuration().generation()).isEqualTo(6);
        driver.kill(old);

        DrivenNode newer = driver.start("vm-0", "zone-0", 2, List.of());
        newer.accept(new ConfigurationEvent.SnapshotFound(Envelopes.of(7)));
        driver.runUntil(() -> newer.configuration().isReady(), RUN_LIMIT);
        assertThat(newer.configuration().generation()).isEqualTo(7);
    }

    @Test
    void twoStartedNodesDoNotConfirmEachOther() {
        driver.platform().down();
        DrivenNode one = driver.start("vm-0", "zone-0", 1, List.of());
        DrivenNode other = driver.start("vm-1", "zone-0", 1, List.of(DrivenNode.address("vm-0")));
        one.accept(new ConfigurationEvent.SnapshotFound(Envelopes.of(3)));
        driver.run(RUN_LIMIT);

        assertThat(other.configuration().generation()).isEqualTo(3);
        assertThat(one.configuration().isReady()).isFalse();
        assertThat(other.configuration().isReady()).isFalse();
    }

    @Test
    void anUnsupportedGenerationIsForwardedAndThePreviousOneStaysActive() {
        List<DrivenNode> fleet = startServing(8, 2, 1);
        driver.platform().configure(Envelopes.of(2, "newer"));
        driver.runUntil(
                () -> fleet.stream().allMatch(node -> node.configuration().heldGeneration() == 2), RUN_LIMIT);
        assertThat(fleet).allMatch(node -> node.configuration().generation() == 1);

        driver.platform().configure(Envelopes.of(3));
        assertThat(timeUntilActive(3)).isLessThan(MAXIMUM_PROPAGATION_TIME);
    }

    @Test
    void malformedEnvelopesFromThePlatformOrANodeChangeNothing() {
        List<DrivenNode> fleet = startServing(4, 2, 1);
        driver.platform().configure(Bytes.ofUtf8("rubbish"));
        NodeIdentity peer = new NodeIdentity(new NodeName("vm-1"), 1000);
        Bytes compressed = Compression.compress(Bytes.ofUtf8("rubbish"));
        fleet.get(0).accept(new PeerEvent.Received(peer, new ConfigurationMessage.Content(9, compressed)));
        fleet.get(0).accept(new PeerEvent.Received(peer, new ConfigurationMessage.Content(9, Bytes.ofUtf8("x"))));
        driver.run(Duration.ofSeconds(5));
        assertThat(fleet).allMatch(node -> node.configuration().heldGeneration() == 1);

        driver.platform().configure(Envelopes.of(2));
        assertThat(timeUntilActive(2)).isLessThan(MAXIMUM_PROPAGATION_TIME);
    }

    @Test
    void theActiveGenerationIsWrittenToDisk() {
        List<DrivenNode> fleet = startServing(2, 1, 1);
        driver.platform().configure(Envelopes.of(2));
        timeUntilActive(2);
        driver.run(Duration.ofMillis(100));
        assertThat(fleet).allSatisfy(node -> assertThat(node.storedEnvelope()).contains("2:content"));
    }

    @Property(tries = 40, seed = "20261202")
    void noOrderOfUpdatesReactivatesAnOlderGeneration(
            @ForAll long seed, @ForAll @IntRange(min = 5, max = 60) int updates) {
        CoreDriver singleNodeDriver = new CoreDriver(seed);
        DrivenNode node = singleNodeDriver.start("vm-0", "zone-0", 1, List.of());
        Random random = new Random(seed);
        for (int i = 0; i < updates; i++) {
            long generation = 1L + random.nextInt(20);
            Bytes envelope = Envelopes.of(generation);
            switch (random.nextInt(3)) {
                case 0 -> node.accept(Envelopes.decode(envelope));
                case 1 ->
                    node.accept(new PeerEvent.Received(
                            new NodeIdentity(new NodeName("vm-1"), 1),
                            new ConfigurationMessage.Content(generation, Compression.compress(envelope))));
                default -> singleNodeDriver.platform().configure(envelope);
            }
            singleNodeDriver.run(Duration.ofMillis(random.nextInt(40)));
        }
        singleNodeDriver.run(Duration.ofSeconds(3));

        assertThat(node.generations()).isSorted().doesNotHaveDuplicates();
        assertThat(node.configuration().generation())
                .isEqualTo(node.configuration().heldGeneration());
    }

    @Property(tries = 300, seed = "20261202")
    void compressedBytesAreRestoredAndArbitraryInputIsHandled(@ForAll byte[] bytes) {
        Bytes plain = Bytes.wrap(bytes);
        assertThat(Compression.expand(Compression.compress(plain))).contains(plain);
        Compression.expand(plain);
    }

    @Test
    void bytesThatExpandBeyondTheMaximumSizeAreRejected() {
        Bytes bomb = Compression.compress(Bytes.wrap(new byte[Compression.MAXIMUM_EXPANDED_BYTES + 100_000]));
        assertThat(Compression.expand(bomb)).isEmpty();
    }

    private List<DrivenNode> startServing(int nodes, int zones, long generation) {
        driver.platform().configure(Envelopes.of(generation));
        List<DrivenNode> fleet = driver.startFleet(nodes, zones);
        Duration taken = driver.runUntil(
                () -> fleet.stream().allMatch(node -> node.configuration().isReady()), RUN_LIMIT);
        assertThat(taken).isLessThan(Duration.ofSeconds(15));
        driver.run(Duration.ofSeconds(2));
        return fleet;
    }

    private Duration timeUntilActive(long generation) {
        return driver.runUntil(
                () -> driver.nodes().stream()
                        .allMatch(node -> node.configuration().generation() == generation),
                RUN_LIMIT);
    }
}
