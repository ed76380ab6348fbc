package io.yuccaswitch.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.driver.CoreDriver;
import io.yuccaswitch.core.driver.DrivenNode;
import io.yuccaswitch.core.driver.DrivenPlatform;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEvent.VirtualMachine;
import io.yuccaswitch.core.platform.PlatformEvent.VirtualMachinesListed;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class MembershipSystemTest {

    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(60);

    private final CoreDriver driver = new CoreDriver(7);

    @Test
    void nodesThatStartTogetherDiscoverEachOther() {
        driver.startFleet(12, 3);

        assertThat(driver.runUntil(() -> allSeeAllAlive(driver.nodes()), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(6));
        assertThat(driver.nodes()).allMatch(node -> node.membership().hasJoined());
    }

    @Test
    void aDeadNodeIsDetectedByAllNodesAndNoOtherNodeIsSuspected() {
        List<DrivenNode> fleet = joined(12, 3);
        DrivenNode dead = fleet.get(5);
        driver.kill(dead);

        assertThat(driver.runUntil(() -> allNodesSee(dead, MemberCondition.DEAD), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(8));
        assertThat(driver.nodes().stream()
                        .mapToLong(node -> node.membership().statistics().refutedSuspicions())
                        .sum())
                .isZero();
    }

    @Property(tries = 25, seed = "20261202")
    void noRunningNodeStaysDeclaredDeadAfterLossDuplicationAndReorderingOfMessages(
            @ForAll long seed,
            @ForAll @DoubleRange(max = 0.2) double loss,
            @ForAll @DoubleRange(max = 0.5) double duplication,
            @ForAll @IntRange(min = 3, max = 12) int nodes,
            @ForAll @IntRange(min = 2, max = 300) int delayMillis) {
        CoreDriver faulty = new CoreDriver(seed);
        faulty.loss(loss);
        faulty.duplication(duplication);
        faulty.maximumDelay(Duration.ofMillis(delayMillis));
        faulty.startFleet(nodes, 3);
        faulty.run(Duration.ofSeconds(30));
        faulty.loss(0);
        faulty.duplication(0);

        assertThat(faulty.runUntil(() -> allSeeAllAlive(faulty.nodes()), MAXIMUM_WAIT))
                .isLessThan(MAXIMUM_WAIT);
    }

    @Test
    void aPausedNodeRejoinsInTheSameIncarnationAndDeclaresNoOtherNodeDead() {
        List<DrivenNode> fleet = joined(8, 2);
        DrivenNode paused = fleet.get(3);
        paused.pause();
        driver.run(Duration.ofSeconds(15));
        assertThat(otherNodesSee(paused, MemberCondition.DEAD)).isTrue();

        paused.resume();
        driver.runUntil(() -> paused.events().contains(new MembershipEvent.RecoveredFromPause()), MAXIMUM_WAIT);
        assertThat(driver.runUntil(() -> allSeeAllAlive(driver.nodes()), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(10));
        assertThat(paused.identity()).isEqualTo(new NodeIdentity(paused.name(), 1000));
        assertThat(paused.events())
                .hasAtLeastOneElementOfType(MembershipEvent.PauseDetected.class)
                .hasAtLeastOneElementOfType(MembershipEvent.RecoveredFromPause.class)
                .noneMatch(event -> event instanceof MembershipEvent.ConditionChanged);
    }

    @Test
    void aPausedNodeIsUncertainUntilItReceivesAnAnswer() {
        List<DrivenNode> fleet = joined(4, 2);
        DrivenNode paused = fleet.get(1);
        paused.pause();
        driver.run(Duration.ofSeconds(5));
        driver.partition((from, _to) -> from == paused);
        paused.resume();

        driver.runUntil(() -> paused.membership().isUncertain(), Duration.ofSeconds(1));
        assertThat(paused.membership().isUncertain()).isTrue();
        driver.run(Duration.ofSeconds(3));
        assertThat(paused.membership().isUncertain()).isTrue();
        assertThat(paused.membership().working()).hasSize(4);
    }

    @Test
    void anAnswerToAnExchangeBeforeAPauseDoesNotEndTheRecovery() {
        List<DrivenNode> fleet = joined(4, 2);
        DrivenNode paused = isolateWhilePaused(fleet.get(1));
        ExchangeDigest digest = new ExchangeDigest(0, 0, false, OptionalLong.empty(), Optional.empty());
        paused.accept(new PeerEvent.Received(
                fleet.get(0).identity(), new MembershipMessage.ExchangeAnswer(1, digest, List.of(), List.of())));
        paused.resume();

        driver.run(Duration.ofSeconds(1));
        assertThat(paused.membership().isUncertain()).isTrue();
    }

    @Test
    void anUncertainNodeDoesNotDeclareASuspectedNodeDead() {
        driver.options(options(Duration.ofMinutes(2), MembershipOptions.DEFAULT.tombstoneRetention()));
        List<DrivenNode> fleet = joined(4, 2);
        DrivenNode dead = fleet.get(3);
        DrivenNode uncertain = fleet.get(1);
        driver.kill(dead);
        driver.runUntil(() -> uncertain.conditionOf(dead) == MemberCondition.SUSPECTED, MAXIMUM_WAIT);
        isolateWhilePaused(uncertain).resume();

        driver.run(Duration.ofSeconds(50));
        assertThat(uncertain.conditionOf(dead)).isEqualTo(MemberCondition.SUSPECTED);
        driver.heal();
        assertThat(driver.runUntil(() -> uncertain.conditionOf(dead) == MemberCondition.DEAD, MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(20));
    }

    @Test
    void bothSidesOfAHealedPartitionFindEachOther() {
        joined(12, 3);
        driver.partitionZone("zone-1");
        driver.run(Duration.ofSeconds(30));
        DrivenNode inside = nodeIn("zone-1");
        DrivenNode outside = nodeIn("zone-0");
        assertThat(inside.conditionOf(outside)).isEqualTo(MemberCondition.DEAD);
        assertThat(outside.conditionOf(inside)).isEqualTo(MemberCondition.DEAD);
        assertThat(inside.membership().working()).hasSize(4);

        driver.heal();
        assertThat(driver.runUntil(() -> allSeeAllAlive(driver.nodes()), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(15));
    }

    @Test
    void nodesRejoinAfterAPartitionWithoutSeedsAndWithoutThePlatform() {
        driver.platform().down();
        List<DrivenNode> fleet = joined(9, 3);
        driver.kill(fleet.get(0));
        driver.runUntil(() -> allNodesSee(fleet.get(0), MemberCondition.DEAD), MAXIMUM_WAIT);
        driver.partitionZone("zone-1");
        driver.run(Duration.ofSeconds(20));
        driver.heal();

        assertThat(driver.runUntil(() -> allSeeAllAlive(driver.nodes()), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(30));
    }

    @Test
    void aNodeThatOnlyOneOtherNodeCannotReachIsNotSuspected() {
        List<DrivenNode> fleet = joined(6, 2);
        driver.partition((from, to) -> from == fleet.get(1) && to == fleet.get(2));
        driver.run(Duration.ofSeconds(30));

        assertThat(fleet)
                .allSatisfy(node ->
                        assertThat(node.membership().statistics().suspicions()).isZero());
    }

    @Test
    void tablesThatDifferOnlyInDeadMembersAreConsideredEqual() {
        List<DrivenNode> fleet = joined(6, 2);
        driver.kill(fleet.get(5));
        driver.runUntil(() -> allNodesSee(fleet.get(5), MemberCondition.DEAD), MAXIMUM_WAIT);
        DrivenNode newNode = driver.start("late", "zone-0", 1, List.of(DrivenNode.address("vm-1")));
        driver.run(Duration.ofSeconds(10));
        assertThat(newNode.membership().find(fleet.get(5).name())).isEmpty();

        driver.observe((_node, message) -> assertThat(message).isNotInstanceOf(MembershipMessage.Summaries.class));
        driver.run(Duration.ofSeconds(10));
    }

    @Test
    void anIsolatedNodeDeclaresTheOthersDeadLaterThanTheyDeclareItDead() {
        List<DrivenNode> fleet = joined(8, 2);
        DrivenNode isolated = fleet.get(2);
        driver.partition((from, _to) -> from == isolated);

        driver.runUntil(() -> otherNodesSee(isolated, MemberCondition.DEAD), MAXIMUM_WAIT);
        assertThat(isolated.membership().working()).hasSize(8);
    }

    @Test
    void aRestartedNodeReplacesItsPreviousIncarnation() {
        List<DrivenNode> fleet = joined(6, 2);
        driver.kill(fleet.get(4));
        DrivenNode restarted = driver.start("vm-4", "zone-0", 2000, List.of(DrivenNode.address("vm-0")));

        Duration elapsed = driver.runUntil(
                () -> driver.nodes().stream()
                        .allMatch(node -> identityOf(node, restarted).equals(restarted.identity())),
                MAXIMUM_WAIT);
        assertThat(elapsed).isLessThan(Duration.ofSeconds(4));
        assertThat(restarted.identity().incarnation()).isEqualTo(2000);
        assertThat(fleet.get(0).events())
                .anyMatch(event -> event instanceof MembershipEvent.ConditionChanged changed
                        && changed.member().identity().incarnation() == 1000
                        && changed.member().condition() == MemberCondition.DEAD);
    }

    @Test
    void aNodeWhoseClockWasSetBackAdoptsAHigherIncarnationThanItsPreviousOne() {
        driver.platform().down();
        List<DrivenNode> fleet = joined(6, 2);
        driver.kill(fleet.get(4));
        DrivenNode restarted = driver.start("vm-4", "zone-0", 500, List.of(DrivenNode.address("vm-0")));

        driver.runUntil(
                () -> allSeeAllAlive(driver.nodes()) && restarted.identity().incarnation() > 1000, MAXIMUM_WAIT);
        assertThat(restarted.identity().incarnation()).isEqualTo(1001);
        assertThat(allNodesSee(restarted, MemberCondition.ALIVE)).isTrue();
    }

    @Test
    void aClockThatWasSetBackIsDetectedFromThePlatformObjectAlone() {
        driver.platform().put("member", "vm-0", memberObject("vm-0", 5000));
        DrivenNode node = driver.start("vm-0", "zone-0", 400, List.of());

        driver.run(Duration.ofSeconds(2));
        assertThat(node.identity().incarnation()).isEqualTo(5001);
        assertThat(driver.platform().value("member", "vm-0"))
                .hasValueSatisfying(value -> assertThat(value.toUtf8()).contains("incarnation=5001"));
    }

    @Test
    void aNodeJoinsThroughSeedsWhileThePlatformIsDown() {
        joined(6, 2);
        driver.platform().down();
        DrivenNode newNode = driver.start("late", "zone-1", 1, List.of(DrivenNode.address("vm-3")));

        assertThat(driver.runUntil(() -> allSeeAllAlive(driver.nodes()), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(4));
        assertThat(driver.runUntil(() -> newNode.membership().hasJoined(), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(4));
    }

    @Test
    void aNodeWithoutSeedsFindsTheOthersThroughThePlatform() {
        joined(6, 2);
        DrivenNode newNode = driver.start("late", "zone-1", 1, List.of());

        assertThat(driver.runUntil(() -> allNodesSee(newNode, MemberCondition.ALIVE), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(4));
    }

    @Test
    void theFirstNodeJoinsAloneWithoutDelay() {
        DrivenNode first = driver.start("vm-0", "zone-0", 1, List.of());

        assertThat(driver.runUntil(() -> first.membership().hasJoined(), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(1));
        assertThat(first.events()).contains(new MembershipEvent.SelfJoined(true));
    }

    @Test
    void aLeavingNodeReceivesNoNewWorkAndItsExitRaisesNoSuspicion() {
        List<DrivenNode> fleet = joined(8, 2);
        DrivenNode leaving = fleet.get(2);
        leaving.accept(new MembershipEvent.LeaveRequested());
        assertThat(driver.runUntil(() -> allNodesSee(leaving, MemberCondition.LEAVING), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(4));
        assertThat(fleet.get(0).membership().working()).hasSize(7);

        leaving.accept(new MembershipEvent.Departing());
        driver.run(Duration.ofMillis(100));
        driver.kill(leaving);
        assertThat(driver.runUntil(() -> allNodesSee(leaving, MemberCondition.DEAD), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(4));
        assertThat(driver.platform().value("member", leaving.name().value())).isEmpty();
        assertThat(fleet.get(0).membership().statistics().suspicions()).isZero();
    }

    @Test
    void aLeavingNodeThatDiesIsDetected() {
        List<DrivenNode> fleet = joined(8, 2);
        DrivenNode leaving = fleet.get(2);
        leaving.accept(new MembershipEvent.LeaveRequested());
        driver.runUntil(() -> allNodesSee(leaving, MemberCondition.LEAVING), MAXIMUM_WAIT);
        driver.kill(leaving);

        assertThat(driver.runUntil(() -> allNodesSee(leaving, MemberCondition.DEAD), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(12));
    }

    @Test
    void anUnreachablePlatformDoesNotChangeTheMembership() {
        List<DrivenNode> fleet = joined(6, 2);
        driver.platform().down();
        int before = fleet.get(0).events().size();
        driver.run(Duration.ofSeconds(30));

        assertThat(allSeeAllAlive(driver.nodes())).isTrue();
        assertThat(fleet.get(0).events()).hasSize(before);
    }

    @Test
    void aNodeWhoseVmIsListedAsLeavingIsNotifiedAndStaysAlive() {
        List<DrivenNode> fleet = joined(6, 2);
        DrivenNode listed = fleet.get(3);
        fleet.get(0)
                .accept(new VirtualMachinesListed(
                        -1, List.of(new VirtualMachine("x", DrivenNode.address("vm-3"), true))));
        driver.run(Duration.ofSeconds(10));

        assertThat(listed.events()).containsOnlyOnce(new MembershipEvent.LeavingNotified());
        assertThat(allNodesSee(listed, MemberCondition.ALIVE)).isTrue();
    }

    @Test
    void aNodeWritesToThePlatformOnceAtTheStartAndDoesNotCallItAgain() {
        joined(10, 2);
        driver.run(Duration.ofSeconds(5));
        assertThat(driver.platform().calls(DrivenPlatform.Kind.WRITE)).isEqualTo(10);
        driver.platform().resetCalls();
        driver.run(MAXIMUM_WAIT);
        assertThat(driver.platform().calls(DrivenPlatform.Kind.READ)).isZero();
        assertThat(driver.platform().calls(DrivenPlatform.Kind.LIST)).isZero();
        assertThat(driver.platform().calls(DrivenPlatform.Kind.WRITE)).isZero();
    }

    @Test
    void deadMembersAreRemovedAfterTheRetentionAndTheirObjectsDeleted() {
        driver.options(options(MembershipOptions.DEFAULT.recoveryTimeout(), Duration.ofMinutes(1)));
        List<DrivenNode> fleet = joined(4, 2);
        DrivenNode dead = fleet.get(3);
        driver.kill(dead);
        driver.runUntil(() -> allNodesSee(dead, MemberCondition.DEAD), MAXIMUM_WAIT);
        assertThat(fleet.get(0).membership().members()).hasSize(4);

        driver.run(Duration.ofSeconds(70));
        assertThat(driver.nodes())
                .allMatch(node -> node.membership().find(dead.name()).isEmpty());
        assertThat(driver.platform().value("member", dead.name().value())).isEmpty();
    }

    @Test
    void messageSizesAreBoundedRegardlessOfTheNumberOfNodes() {
        AtomicInteger rows = new AtomicInteger();
        AtomicInteger summaries = new AtomicInteger();
        driver.observe((_node, message) -> {
            if (message instanceof MembershipMessage.Rows sent) {
                rows.accumulateAndGet(sent.rows().size(), Math::max);
            } else if (message instanceof MembershipMessage.Summaries sent) {
                summaries.accumulateAndGet(sent.summaries().size(), Math::max);
            } else if (message instanceof MembershipMessage.Exchange sent) {
                assertThat(sent.rows()).hasSizeLessThanOrEqualTo(11);
            }
        });
        driver.startFleet(150, 5);
        assertThat(driver.runUntil(() -> allSeeAllAlive(driver.nodes()), MAXIMUM_WAIT))
                .isLessThan(Duration.ofSeconds(20));

        assertThat(rows.get()).isBetween(1, ExchangeContent.MAXIMUM_ROWS_PER_MESSAGE);
        assertThat(summaries.get()).isBetween(1, ExchangeContent.MAXIMUM_SUMMARIES_PER_MESSAGE);
    }

    @Test
    void exchangesBetweenNodesWithEqualTablesContainOnlyIntroductions() {
        AtomicInteger exchanges = new AtomicInteger();
        AtomicInteger rows = new AtomicInteger();
        joined(40, 4);
        driver.run(Duration.ofSeconds(25));
        driver.observe((_node, message) -> {
            if (message instanceof MembershipMessage.Exchange sent) {
                exchanges.incrementAndGet();
                rows.addAndGet(sent.rows().size());
            } else if (message instanceof MembershipMessage.ExchangeAnswer sent) {
                assertThat(sent.rows()).isEmpty();
            }
        });
        driver.run(Duration.ofSeconds(10));

        assertThat(rows.get()).isLessThan(exchanges.get() / 4);
    }

    @Test
    void nodesThatDoNotCallThePlatformDetectThatItIsUnreachable() {
        List<DrivenNode> fleet = joined(9, 3);
        driver.run(Duration.ofSeconds(20));
        driver.platform().down();
        driver.run(Duration.ofSeconds(20));

        assertThat(fleet)
                .allSatisfy(node -> assertThat(platformSilence(node)).hasValueSatisfying(time -> assertThat(time)
                        .isBetween(Duration.ofSeconds(15), Duration.ofSeconds(32))));
    }

    @Test
    void nodesInAMinorityDoNotReportThePlatformAsUnreachable() {
        joined(9, 3);
        driver.run(Duration.ofSeconds(20));
        driver.partitionZone("zone-2");
        driver.platform().downFor(node -> node.zone().equals("zone-2"));
        driver.run(Duration.ofSeconds(20));

        assertThat(platformSilence(nodeIn("zone-2"))).isEmpty();
        assertThat(platformSilence(nodeIn("zone-0")))
                .hasValueSatisfying(time -> assertThat(time).isLessThan(Duration.ofSeconds(14)));
    }

    private List<DrivenNode> joined(int nodes, int zones) {
        List<DrivenNode> fleet = driver.startFleet(nodes, zones);
        assertThat(driver.runUntil(() -> allSeeAllAlive(driver.nodes()), MAXIMUM_WAIT))
                .isLessThan(MAXIMUM_WAIT);
        driver.run(Duration.ofSeconds(3));
        return fleet;
    }

    private static NodeIdentity identityOf(DrivenNode viewer, DrivenNode node) {
        return viewer.membership().find(node.name()).orElseThrow().identity();
    }

    private Optional<Duration> platformSilence(DrivenNode node) {
        return node.platformSilence();
    }

    private DrivenNode nodeIn(String zone) {
        return driver.nodes().stream()
                .filter(node -> node.zone().equals(zone))
                .findFirst()
                .orElseThrow();
    }

    private boolean allNodesSee(DrivenNode node, MemberCondition condition) {
        return driver.nodes().stream().allMatch(other -> other.conditionOf(node) == condition);
    }

    private boolean otherNodesSee(DrivenNode node, MemberCondition condition) {
        return driver.nodes().stream().allMatch(other -> other == node || other.conditionOf(node) == condition);
    }

    private DrivenNode isolateWhilePaused(DrivenNode node) {
        node.pause();
        driver.partition((from, _to) -> from == node);
        driver.run(Duration.ofSeconds(2));
        return node;
    }

    private static MembershipOptions options(Duration recoveryTimeout, Duration tombstoneRetention) {
        MembershipOptions options = MembershipOptions.DEFAULT;
        return new MembershipOptions(
                options.probeTimeout(),
                options.indirectTimeout(),
                options.indirectProbes(),
                options.pauseThreshold(),
                recoveryTimeout,
                options.contactInterval(),
                options.reconnectInterval(),
                options.joinTimeout(),
                tombstoneRetention,
                options.maximumTombstones());
    }

    private static boolean allSeeAllAlive(Collection<DrivenNode> nodes) {
        return nodes.stream()
                .allMatch(node -> nodes.stream().allMatch(other -> node.conditionOf(other) == MemberCondition.ALIVE));
    }

    private static Bytes memberObject(String name, long incarnation) {
        return Bytes.ofUtf8(
                "incarnation=" + incarnation + "\navailabilityZone=zone-0\npeerAddress=" + name + ":peer\n");
    }
}
