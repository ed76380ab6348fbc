package io.yuccaswitch.core.weight;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.lease.HeldLease;
import io.yuccaswitch.core.lease.LeaseSystem;
import io.yuccaswitch.core.platform.PlatformPurpose;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeaseFaultTest {

    private static final String LEASE_NAME = "weights-pool";

    private final TestSite site = new TestSite();

    @BeforeEach
    void prepare() {
        site.addEngine("e1", Map.of("m", 1L));
        site.addTrainer("t", "m", 1);
        for (int index = 1; index <= 3; index++) {
            site.addNode("n" + index);
        }
        site.configure();
    }

    @Test
    void exactlyOneNodeAcquiresALeaseAndKeepsIt() {
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        long number = holder.held(TestSite.POOL, site.now).orElseThrow().fencingNumber();
        site.run(Duration.ofMinutes(2), current -> {
            assertThat(current.holders()).isEqualTo(1);
            assertThat(current.holder()).contains(holder);
        });
        assertThat(holder.held(TestSite.POOL, site.now).orElseThrow().fencingNumber())
                .isEqualTo(number);
    }

    @Test
    void racingCandidatesNeverHoldTheLeaseAtTheSameTime() {
        site.run(Duration.ofSeconds(1), current -> assertThat(current.holders()).isLessThanOrEqualTo(1));
        assertThat(site.holders()).isEqualTo(1);
    }

    @Test
    void aLostAnswerToTheFirstWriteIsResolvedByARead() {
        site.platform.answersToLose = 2;
        site.run(Duration.ofSeconds(3), current -> assertThat(current.holders()).isLessThanOrEqualTo(1));
        assertThat(site.holders()).isEqualTo(1);
    }

    @Test
    void aLostAnswerToARenewalDoesNotLoseTheLease() {
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        site.platform.answersToLose = 1;
        site.run(Duration.ofSeconds(30), current -> assertThat(current.holder()).contains(holder));
        assertThat(site.platform.answersToLose).isZero();
    }

    @Test
    void theLatencyOfASlowAnswerShortensTheValidityOfTheLease() {
        site.platformDelay = TestSite.LEASE.minus(TestSite.MARGIN);
        site.run(Duration.ofMinutes(2), current -> assertThat(current.holders()).isZero());
        site.platformDelay = Duration.ofSeconds(2);
        site.run(Duration.ofMinutes(1));
        site.run(Duration.ofMinutes(1), current -> assertThat(current.holders()).isEqualTo(1));
    }

    @Test
    void aPlannedStopReleasesTheLeaseImmediatelyEvenIfTheAnswerIsLost() {
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        site.platform.answersToLose = 1;
        site.leave(holder);
        site.run(Duration.ofSeconds(5));
        assertThat(site.holder()).isPresent().isNotEqualTo(Optional.of(holder));
    }

    @Test
    void aDeadHolderIsReplacedOnlyAfterTheFullLeaseDurationUnderAHigherFencingNumber() {
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        HeldLease before = holder.held(TestSite.POOL, site.now).orElseThrow();
        site.kill(holder);
        site.run(before.validUntil().plus(TestSite.MARGIN).since(site.now), current -> assertThat(current.holder())
                .isEmpty());
        site.run(Duration.ofSeconds(10));
        HeldLease after =
                site.holder().orElseThrow().held(TestSite.POOL, site.now).orElseThrow();
        assertThat(after.fencingNumber()).isGreaterThan(before.fencingNumber());
    }

    @Test
    void aHolderThatResumesAfterItsLeaseEndedDoesNotHoldItAnyLonger() {
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        site.pause(holder, Duration.ofSeconds(40));
        site.run(
                Duration.ofSeconds(40), current -> assertThat(current.holders()).isLessThanOrEqualTo(1));
        assertThat(holder.held(TestSite.POOL, site.now)).isEmpty();
        site.run(Duration.ofMinutes(1), current -> assertThat(current.holders()).isLessThanOrEqualTo(1));
    }

    @Test
    void aHolderThatWasPausedWithoutAChallengerAcquiresAHigherFencingNumber() {
        site.kill(site.nodes.get("n2"));
        site.kill(site.nodes.get("n3"));
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        long before = holder.held(TestSite.POOL, site.now).orElseThrow().fencingNumber();
        site.pause(holder, Duration.ofSeconds(20));
        site.run(Duration.ofSeconds(22));
        assertThat(holder.held(TestSite.POOL, site.now).orElseThrow().fencingNumber())
                .isGreaterThan(before);
    }

    @Test
    void aChallengerThatWasPausedDoesNotCountThePauseAsObservation() {
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        site.nodes.values().stream()
                .filter(node -> node != holder)
                .forEach(node -> site.pause(node, Duration.ofSeconds(60)));
        site.run(Duration.ofSeconds(90), current -> assertThat(current.holder()).contains(holder));
    }

    @Test
    void aChallengerRestartsItsObservationAfterAPlatformOutage() {
        site.run(Duration.ofSeconds(20));
        TestNode holder = site.holder().orElseThrow();
        site.platform.unreachable = true;
        site.run(Duration.ofMinutes(2));
        holder.partitionedFromPlatform = true;
        site.platform.unreachable = false;
        site.run(TestSite.LEASE, current -> assertThat(current.nodes.values())
                .allMatch(node ->
                        node == holder || node.held(TestSite.POOL, current.now).isEmpty()));
        site.run(Duration.ofSeconds(10));
        assertThat(site.holder()).isPresent().isNotEqualTo(Optional.of(holder));
    }

    @Test
    void aFencingNumberIsNotReusedAfterTheObjectWasDeleted() {
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        long before = holder.held(TestSite.POOL, site.now).orElseThrow().fencingNumber();
        site.platform.remove(LeaseSystem.OBJECT_KIND, LEASE_NAME);
        site.run(Duration.ofSeconds(20));
        HeldLease after =
                site.holder().orElseThrow().held(TestSite.POOL, site.now).orElseThrow();
        assertThat(after.fencingNumber()).isGreaterThan(before);
    }

    @Test
    void aMalformedLeaseValueIsTreatedAsHeldUntilItIsUnchangedForTheFullLeaseDuration() {
        site.platform.put(LeaseSystem.OBJECT_KIND, LEASE_NAME, "rubbish");
        site.run(TestSite.LEASE, current -> assertThat(current.holders()).isZero());
        site.run(Duration.ofSeconds(10));
        assertThat(site.holders()).isEqualTo(1);
    }

    @Test
    void theRateOfPlatformCallsDoesNotGrowWithTheNumberOfNodes() {
        site.run(Duration.ofMinutes(2));
        int callsOfSmallSite = site.platform.calls.get(PlatformPurpose.LEASE);
        TestSite large = new TestSite();
        large.addEngine("e1", Map.of("m", 1L));
        large.addTrainer("t", "m", 1);
        for (int index = 1; index <= 30; index++) {
            large.addNode("n" + index);
        }
        large.configure();
        large.run(Duration.ofMinutes(2));
        assertThat(large.platform.calls.get(PlatformPurpose.LEASE)).isLessThanOrEqualTo(callsOfSmallSite * 3 / 2);
    }

    @Test
    void theHolderContinuesWhileThePlatformIsUnreachableForAllNodes() {
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        site.platform.unreachable = true;
        site.run(Duration.ofMinutes(1), current -> assertThat(current.holders()).isLessThanOrEqualTo(1));
        HeldLease degraded = holder.held(TestSite.POOL, site.now).orElseThrow();
        assertThat(degraded.degraded()).isTrue();
        site.platform.unreachable = false;
        site.run(
                Duration.ofSeconds(20), current -> assertThat(current.holders()).isLessThanOrEqualTo(1));
        HeldLease regular =
                site.holder().orElseThrow().held(TestSite.POOL, site.now).orElseThrow();
        assertThat(regular.degraded()).isFalse();
        assertThat(regular.fencingNumber()).isGreaterThan(degraded.fencingNumber());
    }

    @Test
    void aHolderThatAloneCannotReachThePlatformStopsAndIsReplaced() {
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        holder.partitionedFromPlatform = true;
        site.run(Duration.ofMinutes(3), current -> assertThat(current.holders()).isLessThanOrEqualTo(1));
        assertThat(site.holder()).isPresent().isNotEqualTo(Optional.of(holder));
    }

    @Test
    void aHolderPartitionedFromAllNodesStopsAlthoughItCannotReachThePlatform() {
        site.run(Duration.ofSeconds(2));
        TestNode holder = site.holder().orElseThrow();
        holder.partitionedFromPlatform = true;
        holder.partitioned = true;
        site.run(Duration.ofMinutes(3), current -> assertThat(current.holders()).isLessThanOrEqualTo(1));
        assertThat(holder.held(TestSite.POOL, site.now)).isEmpty();
        assertThat(site.holders()).isEqualTo(1);
    }

    @Test
    void aSuccessorTakesOverWhenTheHolderDiesWhileThePlatformIsUnreachable() {
        site.run(Duration.ofSeconds(5));
        TestNode holder = site.holder().orElseThrow();
        site.platform.unreachable = true;
        site.run(Duration.ofMinutes(1));
        long before = holder.held(TestSite.POOL, site.now).orElseThrow().fencingNumber();
        site.kill(holder);
        site.run(Duration.ofMinutes(1), current -> assertThat(current.holders()).isLessThanOrEqualTo(1));
        HeldLease after =
                site.holder().orElseThrow().held(TestSite.POOL, site.now).orElseThrow();
        assertThat(after.degraded()).isTrue();
        assertThat(after.fencingNumber()).isGreaterThan(before);
    }

    @Test
    void aHolderThatResumesAfterASuccessorTookOverDoesNotActAgain() {
        site.run(Duration.ofSeconds(5));
        TestNode holder = site.holder().orElseThrow();
        site.platform.unreachable = true;
        site.run(Duration.ofMinutes(1));
        holder.partitioned = true;
        site.pause(holder, Duration.ofSeconds(121));
        site.run(Duration.ofMinutes(2));
        TestNode successor = site.holder().orElseThrow();
        holder.partitioned = false;
        site.run(Duration.ofMinutes(2), current -> {
            assertThat(current.holders()).isEqualTo(1);
            assertThat(current.holder()).contains(successor);
        });
    }
}
