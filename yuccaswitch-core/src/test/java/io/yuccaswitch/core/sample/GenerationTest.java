package io.yuccaswitch.core.sample;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Splitter;
import io.yuccaswitch.core.endpoint.EndpointEvent;
import io.yuccaswitch.core.endpoint.LoadReport;
import io.yuccaswitch.core.request.Generation.Segment;
import io.yuccaswitch.core.request.Outcome;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class GenerationTest {

    private SampleFleet fleet = SampleFixtures.fleet();
    private TrainerModel trainer = new TrainerModel(fleet, "a", 1);
    private EngineModel.Simple engine = (EngineModel.Simple) fleet.engines;

    @Test
    void aSampleWithoutReportedVersionIsGeneratedAgain() {
        Set<String> unreported = new HashSet<>();
        engine.label = request -> unreported.add(slot(request))
                ? List.of(new Segment(2, 5), new Segment(Segment.UNKNOWN_VERSION, 5))
                : List.of(new Segment(2, 10));
        Set<GroupKey> groups = submit(3);

        assertThat(trainer.receiveAll(groups, 100)).isTrue();
        assertThat(labels()).containsOnly(List.of(new Segment(2, 10)));
        assertThat(generations()).allSatisfy((_slot, count) -> assertThat(count).isEqualTo(2));
    }

    @Test
    void aWeightSwapDuringAGenerationIsLabelledBySegment() {
        engine.label = _request -> List.of(new Segment(2, 5), new Segment(3, 5));

        assertThat(trainer.receiveAll(submit(3), 100)).isTrue();
        assertThat(labels()).containsOnly(List.of(new Segment(2, 5), new Segment(3, 5)));
    }

    @Test
    void theOldestSegmentDeterminesTheStaleness() {
        fleet.publish(trainer.name, 3);
        trainer.useVersion = 3;
        Set<String> mixed = new HashSet<>();
        engine.label = request ->
                mixed.add(slot(request)) ? List.of(new Segment(1, 5), new Segment(3, 5)) : List.of(new Segment(3, 10));
        Set<GroupKey> groups = submit(3);
        trainer.pull("vm-1", 1);

        assertThat(trainer.receiveAll(groups, 100)).isTrue();
        assertThat(labels()).containsOnly(List.of(new Segment(3, 10)));
    }

    @Test
    void aVersionThatAReadingContradictsIsRejected() {
        fleet.publish(trainer.name, 3);
        engine.label = _request -> List.of(new Segment(3, 10));
        reportVersion(2);
        Set<GroupKey> groups = submit(2);
        fleet.run(Duration.ofSeconds(10));

        assertThat(trainer.pull("vm-1", 4).map(HandedOver::groups).orElseThrow())
                .isEmpty();
        reportVersion(3);
        assertThat(trainer.receiveAll(groups, 100)).isTrue();
    }

    @Test
    void anUnpublishedVersionIsRejected() {
        fleet.publish(trainer.name, 3);
        engine.label = _request -> List.of(new Segment(9, 10));
        Set<GroupKey> groups = submit(2);
        fleet.run(Duration.ofSeconds(10));

        assertThat(trainer.pull("vm-1", 4).map(HandedOver::groups).orElseThrow())
                .isEmpty();
        engine.label = _request -> List.of(new Segment(3, 10));
        assertThat(trainer.receiveAll(groups, 100)).isTrue();
    }

    @Test
    void aTruncatedAnswerYieldsNoSample() {
        Set<String> truncated = new HashSet<>();
        engine.override = request -> truncated.add(slot(request))
                ? Optional.of(new Outcome.FailedAfterSend("cut", "The answer was cut."))
                : Optional.empty();

        assertThat(trainer.receiveAll(submit(3), 100)).isTrue();
    }

    @Test
    void aSampleThatLostSixEnginesIsGeneratedAgainWithinSecondsByARequestThatNoCrashCountsAgainst() {
        Map<String, Integer> crashes = new HashMap<>();
        engine.override = request -> crashes.merge(slot(request), 1, Integer::sum) <= 6
                ? Optional.of(new Outcome.FailedAfterSend("endpoint-ended", "The engine crashed."))
                : Optional.empty();
        Set<GroupKey> groups = submit(2);
        fleet.run(Duration.ofSeconds(10));

        assertThat(generations()).isNotEmpty().allSatisfy((_slot, count) -> assertThat(count)
                .isEqualTo(7));
        assertThat(engine.startedRequests)
                .as("the quarantine recognises a request by its body")
                .extracting(Request::body)
                .doesNotHaveDuplicates();
        assertThat(trainer.receiveAll(groups, 100)).isTrue();
    }

    @Test
    void aLostScoreOfANonRepeatableScorerCausesANewGeneration() {
        useScorer(false);
        Set<String> lost = new HashSet<>();
        engine.override = request -> request.path().equals("/score") && lost.add(slot(request))
                ? Optional.of(new Outcome.Unknown("lost", "The answer was lost."))
                : Optional.empty();

        assertThat(trainer.receiveAll(submit(3), 100)).isTrue();
        assertThat(trainer.received.values())
                .flatExtracting(FinishedGroup::samples)
                .allSatisfy(sample -> assertThat(sample.scored()).isTrue());
        Set<String> bodies = engine.startedRequests.stream()
                .filter(request -> request.path().equals("/score"))
                .map(request -> request.body().toUtf8())
                .collect(Collectors.toSet());
        assertThat(bodies).hasSize(scorings().size());
        assertThat(generations()).allSatisfy((_slot, count) -> assertThat(count).isEqualTo(2));
        assertThat(scorings()).noneMatch(Request::idempotent);
    }

    @Test
    void aLostScoreOfARepeatableScorerIsRequestedAgain() {
        useScorer(true);
        Set<String> lost = new HashSet<>();
        engine.override = request -> request.path().equals("/score") && lost.add(slot(request))
                ? Optional.of(new Outcome.Unknown("lost", "The answer was lost."))
                : Optional.empty();

        assertThat(trainer.receiveAll(submit(3), 100)).isTrue();
        assertThat(generations()).allSatisfy((_slot, count) -> assertThat(count).isEqualTo(1));
    }

    @Test
    void anUnavailableScorerDelaysOnlyItsOwnTrainer() {
        fleet = SampleFixtures.fleet(Map.of(
                "a", SampleFixtures.trainer(1, 1, Optional.empty(), true, 4096),
                "b", SampleFixtures.trainer(1, 1, Optional.of(SampleFixtures.SCORERS), true, 4096)));
        engine = (EngineModel.Simple) fleet.engines;
        trainer = new TrainerModel(fleet, "a", 1);
        engine.override = request -> request.path().equals("/score")
                ? Optional.of(new Outcome.NotRun("no-endpoint", "down", Optional.of(Duration.ofSeconds(1))))
                : Optional.empty();
        fleet.submit("vm-1", SampleFixtures.groups("b", 0, 20, 4));
        fleet.run(Duration.ofSeconds(5));

        assertThat(trainer.receiveAll(submit(6), 20)).isTrue();
    }

    @Test
    void aGenerationThatIsCertainToBeStaleIsStopped() {
        fleet.publish(trainer.name, 1);
        engine.version = 1;
        engine.answerTime = Duration.ofHours(1);
        Set<GroupKey> groups = submit(2);
        fleet.run(Duration.ofSeconds(1));
        engine.answerTime = Duration.ofMillis(50);
        engine.version = 4;
        fleet.publish(trainer.name, 4);
        trainer.useVersion = 4;

        assertThat(trainer.receiveAll(groups, 100)).isTrue();
        assertThat(labels()).containsOnly(List.of(new Segment(4, 10)));
    }

    @Test
    void samplesAreGeneratedAheadOnlyWithinTheBound() {
        fleet.publish(trainer.name, 1);
        engine.version = 1;
        trainer.useVersion = 1;
        fleet.submit("vm-1", SampleFixtures.groups("a", 0, 3, 2));
        fleet.submit("vm-1", SampleFixtures.groups("a", 1, 3, 2));
        fleet.submit("vm-1", SampleFixtures.groups("a", 2, 3, 2));
        fleet.run(Duration.ofSeconds(3));
        trainer.pullUnprocessed("vm-1", 1, OptionalLong.of(0));
        fleet.run(Duration.ofSeconds(3));

        assertThat(engine.startedRequests.stream().map(GenerationTest::step).collect(Collectors.toSet()))
                .containsExactlyInAnyOrder("0", "1");
    }

    @Test
    void aTrainerThatPullsAnyStepIsNotBlockedByABoundOfZero() {
        fleet = SampleFixtures.fleet(Map.of("a", SampleFixtures.trainer(0, 1, Optional.empty(), true, 4096)));
        engine = (EngineModel.Simple) fleet.engines;
        trainer = new TrainerModel(fleet, "a", 0);
        Set<GroupKey> groups = new HashSet<>();
        for (long step = 4; step < 7; step++) {
            List<GroupSpecification> submitted = SampleFixtures.groups("a", step, 3, 2);
            fleet.submit("vm-1", submitted);
            submitted.forEach(group -> groups.add(group.key()));
        }

        assertThat(trainer.receiveAll(groups, 100)).isTrue();
    }

    @Test
    void generationsRequireTheOldestUsefulVersion() {
        fleet.publish(trainer.name, 5);
        trainer.useVersion = 5;
        submit(1);
        trainer.pullUnprocessed("vm-1", 1, OptionalLong.of(0));
        engine.startedRequests.clear();
        fleet.submit("vm-1", SampleFixtures.groups("a", 0, 2, 1));
        fleet.submit("vm-1", SampleFixtures.groups("a", 1, 1, 1));
        fleet.run(Duration.ofSeconds(3));

        assertThat(engine.startedRequests)
                .filteredOn(request -> step(request).equals("1"))
                .isNotEmpty();
        assertThat(engine.startedRequests).allSatisfy(request -> assertThat(request.minimumVersion())
                .isEqualTo(step(request).equals("0") ? 4 : 5));
    }

    private void useScorer(boolean repeatable) {
        fleet = SampleFixtures.fleet(
                Map.of("a", SampleFixtures.trainer(1, 1, Optional.of(SampleFixtures.SCORERS), repeatable, 4096)));
        engine = (EngineModel.Simple) fleet.engines;
        trainer = new TrainerModel(fleet, "a", 1);
    }

    private void reportVersion(long version) {
        LoadReport load = new LoadReport(MonotonicTime.ZERO, 0, 0, 8, 0);
        fleet.nodes
                .values()
                .forEach(node -> node.inbox.add(new EndpointEvent.Reported(
                        EngineModel.Simple.ENGINE, "1", load, Map.of("model", version), false)));
    }

    private Set<GroupKey> submit(int count) {
        List<GroupSpecification> groups = SampleFixtures.groups("a", 0, count, 4);
        fleet.submit("vm-1", groups);
        return groups.stream().map(GroupSpecification::key).collect(Collectors.toSet());
    }

    private Set<List<Segment>> labels() {
        return trainer.received.values().stream()
                .flatMap(group -> group.samples().stream())
                .map(Sample::segments)
                .collect(Collectors.toSet());
    }

    private Map<String, Integer> generations() {
        Map<String, Integer> counts = new HashMap<>();
        engine.startedRequests.stream()
                .filter(request -> !request.path().equals("/score"))
                .forEach(request -> counts.merge(slot(request), 1, Integer::sum));
        return counts;
    }

    private List<Request> scorings() {
        return engine.startedRequests.stream()
                .filter(request -> request.path().equals("/score"))
                .toList();
    }

    /** Returns the path of a request with the step, group and index, which are the last parts of its identifier. */
    private static String slot(Request request) {
        List<String> parts = Splitter.on('-').splitToList(request.id().value());
        return request.path() + " " + parts.get(parts.size() - 3) + "-" + parts.get(parts.size() - 2) + "-"
                + parts.get(parts.size() - 1);
    }

    private static String step(Request request) {
        List<String> parts = Splitter.on('-').splitToList(request.id().value());
        return parts.get(parts.size() - 3);
    }

    /** Reads results of pulls. */
    private static final class HandedOver {

        private static List<FinishedGroup> groups(PullResult result) {
            return ((PullResult.HandedOver) result).groups();
        }
    }
}
