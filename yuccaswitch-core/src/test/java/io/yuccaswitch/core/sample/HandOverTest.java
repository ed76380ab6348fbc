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

        assertThat(trainer.takeAll(groups, 100)).isTrue();
        assertThat(trainer.taken.values())
                .allSatisfy(group -> assertThat(group.samples()).hasSize(4));
        assertNothingMore();
    }

    @Test
    void aLostAnswerIsGivenAgain() {
        Set<GroupKey> groups = submitted(6);
        fleet.run(Duration.ofSeconds(2));

        PullResult first = trainer.ask("vm-1", 2, OptionalLong.empty()).orElseThrow();
        PullResult again = trainer.ask("vm-2", 2, OptionalLong.empty()).orElseThrow();

        assertThat(keys(again)).isEqualTo(keys(first)).hasSize(2);
        assertThat(trainer.takeAll(groups, 100)).isTrue();
    }

    @Test
    void theKeeperMayDieBetweenHandOverAndItsRecord() {
        Set<GroupKey> groups = submitted(9);
        fleet.run(Duration.ofSeconds(2));
        trainer.pull("vm-1", 3);

        fleet.kill(fleet.keepers(trainer.name).get(0));

        assertThat(trainer.takeAll(groups, 200)).isTrue();
        assertNothingMore();
    }

    @Test
    void twoKeepersServingOneTrainerDeliverOnce() {
        Set<GroupKey> groups = submitted(12);
        fleet.run(Duration.ofSeconds(2));
        List<String> keepers = fleet.keepers(trainer.name);

        for (int pull = 0; pull < 40 && trainer.taken.size() < groups.size(); pull++) {
            fleet.cut.clear();
            fleet.cut.add(keepers.get(pull % 2));
            trainer.pull(keepers.get(pull % 2), 2);
        }

        assertThat(trainer.taken.keySet()).containsAll(groups);
    }

    @Test
    void anOldCursorGoesOnBehindWhatWasTaken() {
        Set<GroupKey> groups = submitted(9);
        fleet.run(Duration.ofSeconds(2));
        trainer.pull("vm-1", 2);
        Optional<String> old = trainer.cursor;
        trainer.pull("vm-2", 2);
        trainer.pull("vm-3", 2);
        PullResult last = trainer.ask("vm-3", 2, OptionalLong.empty()).orElseThrow();

        trainer.cursor = old;

        assertThat(keys(trainer.ask("vm-4", 2, OptionalLong.empty()).orElseThrow()))
                .isEqualTo(keys(last));
        assertThat(trainer.takeAll(groups, 100)).isTrue();
    }

    @Test
    void aTrainerWithoutCursorGoesOnBehindWhatItAcknowledged() {
        Set<GroupKey> groups = submitted(9);
        trainer.pull("vm-1", 3);
        trainer.pull("vm-2", 3);
        trainer.ask("vm-2", 3, OptionalLong.empty());

        trainer.cursor = Optional.empty();

        assertThat(trainer.takeAll(groups, 100)).isTrue();
    }

    @Test
    void aTrainerWithoutCursorIsServedFromThePlatformWhenAllNodesWereReplaced() {
        submitted(9);
        trainer.pull("vm-1", 3);
        trainer.ask("vm-2", 3, OptionalLong.empty());
        fleet.run(Duration.ofSeconds(3));
        for (int node = 1; node <= 6; node++) {
            fleet.restart("vm-" + node);
        }
        Set<GroupKey> groups = submitted(9);

        trainer.cursor = Optional.empty();

        assertThat(trainer.takeAll(groups, 100)).isTrue();
    }

    @Test
    void aTrainerWithoutCursorIsRefusedWhileNothingCanBeKnown() {
        submitted(9);
        trainer.pull("vm-1", 3);
        trainer.ask("vm-2", 3, OptionalLong.empty());
        fleet.platform.down = true;
        for (int node = 1; node <= 6; node++) {
            fleet.restart("vm-" + node);
        }
        Set<GroupKey> groups = submitted(9);
        trainer.cursor = Optional.empty();

        PullResult result = trainer.ask("vm-1", 3, OptionalLong.empty()).orElseThrow();

        assertThat(result).isInstanceOfSatisfying(PullResult.Refused.class, refusal -> {
            assertThat(refusal.code()).isEqualTo("cursor-unknown");
            assertThat(refusal.retryAfter()).isPresent();
        });
        fleet.platform.down = false;
        assertThat(trainer.takeAll(groups, 100)).isTrue();
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
        fleet.platform.down = true;
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

        assertThat(trainer.takeAll(groups, 200)).isTrue();
        assertThat(fleet.platform.writes).isZero();
        fleet.platform.down = false;
        fleet.run(Duration.ofSeconds(3));
        assertThat(fleet.platform.writes).isPositive();
    }

    @Test
    void aWriteWhoseAnswerIsLostIsSettledByReading() {
        Set<GroupKey> groups = submitted(9);
        fleet.platform.losesAnswers = 2;

        assertThat(trainer.takeAll(groups, 100)).isTrue();
        trainer.pull("vm-1", 1);
        fleet.run(Duration.ofSeconds(5));

        assertThat(fleet.platform.objects).hasSize(1);
        String text = fleet.platform.objects.values().iterator().next().value().toUtf8();
        assertThat(CursorCodec.decode(trainer.name, text))
                .isEqualTo(CursorCodec.decode(trainer.name, trainer.cursor.orElseThrow()));
    }

    @Test
    void aGroupThatHasBecomeStaleRunsAgain() {
        EngineModel.Simple engine = (EngineModel.Simple) fleet.engines;
        engine.version = 3;
        fleet.publish(trainer.name, 3);
        Set<GroupKey> groups = submitted(4);
        fleet.run(Duration.ofSeconds(2));
        engine.version = 5;
        fleet.publish(trainer.name, 5);
        trainer.useVersion = 5;

        assertThat(trainer.takeAll(groups, 100)).isTrue();
        assertThat(trainer.taken.values()).allSatisfy(group -> {
            assertThat(group.oldestVersion()).isEqualTo(5);
            assertThat(group.run()).isGreaterThan(1);
        });
    }

    private String refusal(String cursor) {
        trainer.cursor = Optional.of(cursor);
        return trainer.ask("vm-1", 1, OptionalLong.empty())
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

    private void assertNothingMore() {
        fleet.run(Duration.ofSeconds(5));
        PullResult result = trainer.ask("vm-3", 10, OptionalLong.empty()).orElseThrow();
        assertThat(keys(result)).isEmpty();
    }

    private static List<GroupKey> keys(PullResult result) {
        return ((PullResult.HandedOver) result)
                .groups().stream().map(FinishedGroup::key).toList();
    }
}
