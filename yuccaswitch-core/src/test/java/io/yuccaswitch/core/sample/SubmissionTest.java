package io.yuccaswitch.core.sample;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.MemberCondition;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class SubmissionTest {

    private SampleFleet fleet = SampleFixtures.fleet();

    @Test
    void anAcceptedGroupIsHeldInTwoAvailabilityZones() {
        List<GroupSpecification> groups = SampleFixtures.groups("a", 0, 20, 2);

        assertThat(submit(groups).accepted()).hasSize(20);
        for (GroupSpecification group : groups) {
            List<String> holders = fleet.holders(group.key());
            assertThat(zones(holders)).hasSize(2);
            assertThat(holders).allSatisfy(name -> assertThat(fleet.node(name).holds(group.key()))
                    .isTrue());
        }
    }

    @Test
    void aGroupIsRefusedWhileThereIsNoSecondZone() {
        fleet.nodes.keySet().stream()
                .map(name -> name.value())
                .filter(name -> !Set.of("vm-3", "vm-6").contains(name))
                .toList()
                .forEach(name -> {
                    fleet.kill(name);
                    fleet.setCondition(name, MemberCondition.DEAD);
                });

        SampleEffect.AnswerSubmission answer = submitAt("vm-3", SampleFixtures.groups("a", 0, 2, 2));

        assertThat(answer.refused()).hasSize(2).allSatisfy(refused -> {
            assertThat(refused.code()).isEqualTo("no-second-zone");
            assertThat(refused.definitelyNotRun()).isTrue();
            assertThat(refused.retryAfter()).isPresent();
        });
    }

    @Test
    void aSiteWithOneZoneAcceptsOnOneNode() {
        fleet = new SampleFleet(SampleFixtures.configuration(
                1, 1, 8, Map.of("a", SampleFixtures.trainer(1, 1, Optional.empty(), true, 4096))));
        fleet.start("vm-1", "zone-1");
        TrainerModel trainer = new TrainerModel(fleet, "a", 1);

        SampleEffect.AnswerSubmission answer = submitAt("vm-1", SampleFixtures.groups("a", 0, 3, 2));

        assertThat(answer.accepted()).hasSize(3);
        assertThat(trainer.receiveAll(Set.copyOf(answer.accepted()), 50)).isTrue();
    }

    @Test
    void groupsBeyondTheLimitAreRefusedAndNotHeld() {
        fleet = SampleFixtures.fleet(Map.of("a", SampleFixtures.trainer(1, 1, Optional.empty(), true, 12)));
        TrainerModel trainer = new TrainerModel(fleet, "a", 1);
        ((EngineModel.Simple) fleet.engines).answerTime = Duration.ofSeconds(20);

        SampleEffect.AnswerSubmission answer = submit(SampleFixtures.groups("a", 0, 60, 2));

        assertThat(answer.accepted()).hasSizeBetween(6, 12);
        assertThat(answer.refused()).allSatisfy(refused -> {
            assertThat(refused.code()).isEqualTo("groups-in-progress");
            assertThat(refused.definitelyNotRun()).isTrue();
            assertThat(fleet.nodes.values()).noneMatch(node -> node.holds(refused.key()));
        });
        ((EngineModel.Simple) fleet.engines).answerTime = Duration.ofMillis(50);
        assertThat(trainer.receiveAll(Set.copyOf(answer.accepted()), 100)).isTrue();
    }

    @Test
    void resubmittingGroupsIsIdempotent() {
        List<GroupSpecification> groups = SampleFixtures.groups("a", 0, 5, 2);
        TrainerModel trainer = new TrainerModel(fleet, "a", 1);
        submit(groups);
        fleet.run(Duration.ofSeconds(1));
        trainer.pull("vm-1", 2);

        assertThat(submitAt("vm-4", groups).accepted()).hasSize(5);
        assertThat(trainer.receiveAll(keys(groups), 100)).isTrue();
        submitAt("vm-5", groups);
        fleet.run(Duration.ofSeconds(5));
        assertThat(trainer.pull("vm-2", 5).map(result -> ((PullResult.HandedOver) result).groups()))
                .contains(List.of());
    }

    @Test
    void aGroupThatMayBeHeldIsNotReportedAsNotRun() {
        fleet.lossCondition = message -> message.content() instanceof SampleMessage.Stored;

        SampleEffect.AnswerSubmission answer = submit(SampleFixtures.groups("a", 0, 20, 2));

        assertThat(answer.refused()).isNotEmpty().allSatisfy(refused -> {
            assertThat(refused.code()).isEqualTo("holders-unreachable");
            assertThat(refused.definitelyNotRun()).isFalse();
        });
    }

    @Test
    void groupsThatCanNeverBeAcceptedAreRefusedPermanently() {
        GroupKey key = new GroupKey(new TrainerName("a"), 0, 0);
        GroupSpecification large = new GroupSpecification(key, "prompt", 1024, 1 << 20, PriorityClass.NORMAL);

        assertThat(submit(List.of(large)).refused()).singleElement().satisfies(refused -> {
            assertThat(refused.code()).isEqualTo("group-too-large");
            assertThat(refused.retryAfter()).isEmpty();
        });
        assertThat(submit(SampleFixtures.groups("stranger", 0, 1, 1)).refused())
                .singleElement()
                .satisfies(refused -> assertThat(refused.code()).isEqualTo("trainer-unknown"));
    }

    @Test
    void acceptedGroupsAreDeliveredIfAHolderDiesAtAnyTime() {
        for (int elapsedTicks = 0; elapsedTicks < 40; elapsedTicks++) {
            SampleFleet trial = SampleFixtures.fleet();
            ((EngineModel.Simple) trial.engines).answerTime = Duration.ofMillis(100);
            TrainerModel trainer = new TrainerModel(trial, "a", 1);
            List<GroupSpecification> groups = SampleFixtures.groups("a", 0, 4, 2);
            long token = trial.submit("vm-1", groups);
            trial.run(SampleFleet.TICK_INTERVAL.multipliedBy(elapsedTicks + 1));
            String killedNode =
                    trial.holders(groups.get(elapsedTicks % 4).key()).get(elapsedTicks / 4 % 2);
            if (killedNode.equals("vm-1")) {
                continue;
            }
            trial.kill(killedNode);
            trial.runUntil(() -> trial.submissions.containsKey(token), Duration.ofSeconds(10));

            Set<GroupKey> accepted = Set.copyOf(trial.submissions.get(token).accepted());
            for (int pull = 0; pull < 100 && !trainer.received.keySet().containsAll(accepted); pull++) {
                trainer.pull("vm-1", 2);
            }
            assertThat(trainer.received.keySet())
                    .as("killed after %d ticks", elapsedTicks)
                    .containsAll(accepted);
        }
    }

    @Test
    void groupsAreDeliveredIfAllNodesAreRestartedOneByOne() {
        TrainerModel trainer = new TrainerModel(fleet, "a", 1);
        ((EngineModel.Simple) fleet.engines).answerTime = Duration.ofMillis(1500);
        List<GroupSpecification> groups = SampleFixtures.groups("a", 0, 24, 2);
        submit(groups);

        for (int node = 1; node <= 6; node++) {
            fleet.restart("vm-" + node);
            fleet.run(Duration.ofSeconds(4));
            trainer.pull("vm-" + node, 2);
        }

        assertThat(trainer.receiveAll(keys(groups), 200)).isTrue();
    }

    @Test
    void aLeavingNodeHandsOffAllGroups() {
        TrainerModel trainer = new TrainerModel(fleet, "a", 1);
        List<GroupSpecification> groups = SampleFixtures.groups("a", 0, 24, 2);
        submit(groups);
        fleet.run(Duration.ofSeconds(2));
        trainer.pull("vm-1", 4);
        String leaving = fleet.keepers(trainer.name).get(0);
        assertThat(fleet.node(leaving).system.handedOff()).isFalse();

        fleet.setCondition(leaving, MemberCondition.LEAVING);

        assertThat(fleet.runUntil(() -> fleet.node(leaving).system.handedOff(), Duration.ofSeconds(15)))
                .isTrue();
        fleet.kill(leaving);
        assertThat(trainer.receiveAll(keys(groups), 100)).isTrue();
    }

    private SampleEffect.AnswerSubmission submit(List<GroupSpecification> groups) {
        return submitAt("vm-1", groups);
    }

    private SampleEffect.AnswerSubmission submitAt(String node, List<GroupSpecification> groups) {
        long token = fleet.submit(node, groups);
        assertThat(fleet.runUntil(() -> fleet.submissions.containsKey(token), Duration.ofSeconds(10)))
                .isTrue();
        return fleet.submissions.get(token);
    }

    private static Set<GroupKey> keys(List<GroupSpecification> groups) {
        return groups.stream().map(GroupSpecification::key).collect(Collectors.toSet());
    }

    private Set<String> zones(List<String> names) {
        return new ArrayList<>(names)
                .stream()
                        .map(name -> fleet.node(name).self().availabilityZone().value())
                        .collect(Collectors.toSet());
    }
}
