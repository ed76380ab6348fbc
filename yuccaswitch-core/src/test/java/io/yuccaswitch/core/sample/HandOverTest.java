package io.yuccaswitch.core.sample;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class HandOverTest {

    private final SampleFleet fleet = SampleFixtures.fleet();
    private final TrainerModel trainer = new TrainerModel(fleet, "a", 1);

    @Test
    void everyGroupIsDeliveredOnce() {
        Set<GroupKey> groups = submitted(12);

        assertThat(trainer.receiveAll(groups, 100)).isTrue();
        assertThat(trainer.received.values())
                .allSatisfy(group -> assertThat(group.samples()).hasSize(4));
        assertNoFurtherGroups();
    }

    @Test
    void aRepeatedPullReturnsTheSameGroups() {
        Set<GroupKey> groups = submitted(6);
        fleet.run(Duration.ofSeconds(2));

        PullResult first =
                trainer.pullUnprocessed("vm-1", 2, OptionalLong.empty()).orElseThrow();
        PullResult again =
                trainer.pullUnprocessed("vm-2", 2, OptionalLong.empty()).orElseThrow();

        assertThat(keys(again)).isEqualTo(keys(first)).hasSize(2);
        assertThat(trainer.receiveAll(groups, 100)).isTrue();
    }

    @Test
    void groupsAreDeliveredOnceIfTheKeeperDiesBeforeTheAcknowledgement() {
        Set<GroupKey> groups = submitted(9);
        fleet.run(Duration.ofSeconds(2));
        trainer.pull("vm-1", 3);

        fleet.kill(fleet.keepers(trainer.name).get(0));

        assertThat(trainer.receiveAll(groups, 200)).isTrue();
        assertNoFurtherGroups();
    }

    @Test
    void groupsAreDeliveredOnceByPartitionedKeepers() {
        Set<GroupKey> groups = submitted(12);
        fleet.run(Duration.ofSeconds(2));
        List<String> keepers = fleet.keepers(trainer.name);

        for (int pull = 0; pull < 40 && trainer.received.size() < groups.size(); pull++) {
            fleet.partitioned.clear();
            fleet.partitioned.add(keepers.get(pull % 2));
            trainer.pull(keepers.get(pull % 2), 2);
        }

        assertThat(trainer.received.keySet()).containsAll(groups);
    }

    @Test
    void anOutdatedCursorResumesAfterTheAcknowledgedGroups() {
        Set<GroupKey> groups = submitted(9);
        fleet.run(Duration.ofSeconds(2));
        trainer.pull("vm-1", 2);
        Optional<String> outdated = trainer.cursor;
        trainer.pull("vm-2", 2);
        trainer.pull("vm-3", 2);
        PullResult last =
                trainer.pullUnprocessed("vm-3", 2, OptionalLong.empty()).orElseThrow();

        trainer.cursor = outdated;

        assertThat(keys(trainer.pullUnprocessed("vm-4", 2, OptionalLong.empty()).orElseThrow()))
                .isEqualTo(keys(last));
        assertThat(trainer.receiveAll(groups, 100)).isTrue();
    }

    @Test
    void aTrainerWithoutCursorResumesAfterTheAcknowledgedGroups() {
        Set<GroupKey> groups = submitted(9);
        trainer.pull("vm-1", 3);
        trainer.pull("vm-2", 3);
        trainer.pullUnprocessed("vm-2", 3, OptionalLong.empty());

        trainer.cursor = Optional.empty();

        assertThat(trainer.receiveAll(groups, 100)).isTrue();
    }

    @Test
    void aTrainerWithoutCursorIsServedFromThePlatformWhenAllNodesWereReplaced() {
        submitted(9);
        trainer.pull("vm-1", 3);
        trainer.pullUnprocessed("vm-2", 3, OptionalLong.empty());
        fleet.run(Duration.ofSeconds(3));
        for (int node = 1; node <= 6; node++) {
            fleet.restart("vm-" + node);
        }
        Set<GroupKey> groups = submitted(9);

        trainer.cursor = Optional.empty();

        assertThat(trainer.receiveAll(groups, 100)).isTrue();
    }

    @Test
    void aTrainerWithoutCursorIsRefusedWhileItsCursorCannotBeDetermined() {
        submitted(9);
        trainer.pull("vm-1", 3);
        trainer.pullUnprocessed("vm-2", 3, OptionalLong.empty());
        fleet.platform.unavailable = true;
        for (int node = 1; node <= 6; node++) {
            fleet.restart("vm-" + node);
        }
        Set<GroupKey> groups = submitted(9);
        trainer.cursor = Optional.empty();

        PullResult result =
                trainer.pullUnprocessed("vm-1", 3, OptionalLong.empty()).orElseThrow();

        assertThat(result).isInstanceOfSatisfying(PullResult.Refused.class, refusal -> {
            assertThat(refusal.code()).isEqualTo("cursor-unknown");
            assertThat(refusal.retryAfter()).isPresent();
        });
        fleet.platform.unavailable = false;
        assertThat(trainer.receiveAll(groups, 100)).isTrue();
    }

    @Test
    void malformedAndForeignCursorsAreRefused() {
        String foreign = CursorCodec.encode(Cursor.start(new io.yuccaswitch.core.identity.TrainerName("other")));

        assertThat(refusal("not a cursor")).isEqualTo("cursor-malformed");
        assertThat(refusal(foreign.substring(1))).isEqualTo("cursor-malformed");
        assertThat(refusal(foreign)).isEqualTo("cursor-foreign");
    }

    @Test
    void stepsAreDeliveredOnceWhileThePlatformIsDown() {
        fleet.platform.unavailable = true;
        trainer.cursor = Optional.of(CursorCodec.encode(Cursor.start(trainer.name)));
        for (long step = 0; step < 4; step++) {
            fleet.submit("vm-1", SampleFixtures.groups("a", step, 8, 2));
        }
        Set<GroupKey> groups = java.util.stream.LongStream.range(0, 4)
                .boxed()
                .flatMap(step -> SampleFixtures.groups("a", step, 8, 2).stream())
                .map(GroupSpecification::key)
                .collect(Collectors.toSet());
        trainer.pull("vm-1", 3);
        fleet.run(Duration.ofMinutes(2));

        assertThat(trainer.receiveAll(groups, 200)).isTrue();
        assertThat(fleet.platform.writes).isZero();
        fleet.platform.unavailable = false;
        fleet.run(Duration.ofSeconds(3));
        assertThat(fleet.platform.writes).isPositive();
    }

    @Test
    void aWriteWithALostAnswerIsResolvedByARead() {
        Set<GroupKey> groups = submitted(9);
        fleet.platform.answersToDrop = 2;

        assertThat(trainer.receiveAll(groups, 100)).isTrue();
        trainer.pull("vm-1", 1);
        fleet.run(Duration.ofSeconds(5));

        assertThat(fleet.platform.objects).hasSize(1);
        String text = fleet.platform.objects.values().iterator().next().value().toUtf8();
        assertThat(CursorCodec.decode(trainer.name, text))
                .isEqualTo(CursorCodec.decode(trainer.name, trainer.cursor.orElseThrow()));
    }

    @Test
    void aStaleGroupIsRunAgain() {
        EngineModel.Simple engine = (EngineModel.Simple) fleet.engines;
        engine.version = 3;
        fleet.publish(trainer.name, 3);
        Set<GroupKey> groups = submitted(4);
        fleet.run(Duration.ofSeconds(2));
        engine.version = 5;
        fleet.publish(trainer.name, 5);
        trainer.useVersion = 5;

        assertThat(trainer.receiveAll(groups, 100)).isTrue();
        assertThat(trainer.received.values()).allSatisfy(group -> {
            assertThat(group.oldestVersion()).isEqualTo(5);
            assertThat(group.run()).isGreaterThan(1);
        });
    }

    private String refusal(String cursor) {
        trainer.cursor = Optional.of(cursor);
        return trainer.pullUnprocessed("vm-1", 1, OptionalLong.empty())
                .map(PullResult.Refused.class::cast)
                .orElseThrow()
                .code();
    }

    private Set<GroupKey> submitted(int count) {
        List<GroupSpecification> groups = SampleFixtures.groups("a", 0, count, 4);
        long token = fleet.submit("vm-1", groups);
        assertThat(fleet.runUntil(() -> fleet.submissions.containsKey(token), Duration.ofSeconds(6)))
                .isTrue();
        assertThat(fleet.submissions.get(token).refused()).isEmpty();
        return groups.stream().map(GroupSpecification::key).collect(Collectors.toSet());
    }

    private void assertNoFurtherGroups() {
        fleet.run(Duration.ofSeconds(5));
        PullResult result =
                trainer.pullUnprocessed("vm-3", 10, OptionalLong.empty()).orElseThrow();
        assertThat(keys(result)).isEmpty();
    }

    private static List<GroupKey> keys(PullResult result) {
        return ((PullResult.HandedOver) result)
                .groups().stream().map(FinishedGroup::key).toList();
    }
}
