package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.site.TestNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests batch jobs across nodes with a simulated platform and simulated engines. */
final class BatchSystemTest {

    private final BatchSite site = new BatchSite();

    @Test
    void aJobIsAcceptedOnceItsEntryIsStoredAndAllItsItemsAreListed() {
        TestNode node = site.node("node-1");
        site.run(100);
        long ticket = site.submit(node, BatchSite.job("job", 10));
        site.run(2000);
        assertThat(site.answer(ticket)).contains(new BatchAnswer.Accepted());
        assertThat(site.listed("job")).hasSize(10).doesNotHaveDuplicates();
    }

    @Test
    void aJobThatThePlatformDidNotStoreIsRejectedAndNeverRuns() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.site.platform().failWhere((_node, call) -> call instanceof PlatformEffect.Write);
        long ticket = site.submit(node, BatchSite.job("job", 4));
        site.run(200);
        assertThat(site.answer(ticket).orElseThrow()).isInstanceOf(BatchAnswer.NotAccepted.class);
        site.site.platform().failWhere(BatchSystemTest::never);
        site.run(5000);
        assertThat(site.runs).isEmpty();
    }

    @Test
    void aSubmissionWhoseEntryMayBeAppliedLateIsNeverRejectedAsNotRun() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.site.platform().applyLateWhere((_node, call) -> writesTo(call, BatchObjects.INDEX));
        long ticket = site.submit(node, BatchSite.job("job", 4));
        site.run(3000);
        assertThat(site.answer(ticket).orElseThrow()).isInstanceOf(BatchAnswer.Unsure.class);
        site.site.platform().applyLateWhere(BatchSystemTest::never);
        site.site.platform().applyLate();
        site.run(5000);
        assertThat(site.listed("job"))
                .as("an entry that was applied late accepts the job as well")
                .hasSize(4);
    }

    @Test
    void anEntryWhoseAnswerWasLostIsReadBackAndAccepted() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.site.platform().loseAnswersWhere((_node, call) -> writesTo(call, BatchObjects.INDEX));
        long ticket = site.submit(node, BatchSite.job("job", 4));
        site.run(300);
        assertThat(site.answer(ticket)).contains(new BatchAnswer.Accepted());
    }

    @Test
    void anEntryIsReadBackUntilAShortOutageEnds() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.site.platform().loseAnswersWhere((_node, call) -> writesTo(call, BatchObjects.INDEX));
        site.site.platform().failWhere((_node, call) -> call instanceof PlatformEffect.Read);
        long ticket = site.submit(node, BatchSite.job("job", 4));
        site.run(600);
        assertThat(site.answer(ticket)).isEmpty();
        site.site.platform().failWhere(BatchSystemTest::never);
        site.run(300);
        assertThat(site.answer(ticket)).contains(new BatchAnswer.Accepted());
    }

    /**
     * Guards against submissions that are still unanswered when their caller times out: no step may exceed the
     * deadline.
     */
    @Test
    void aSubmissionIsAnsweredCorrectlyByItsDeadlineWheneverThePlatformStopsAnswering() {
        Set<Class<?>> seen = new HashSet<>();
        for (int moment = 0; moment <= 80; moment += 10) {
            BatchSite fresh = new BatchSite();
            TestNode node = fresh.node("node-1");
            fresh.run(100);
            long ticket = fresh.submit(node, BatchSite.job("job", 4));
            fresh.run(moment);
            fresh.site.platform().silenceWhere(_node -> true);
            fresh.run((int) BatchSite.CALL_TIMEOUT.toMillis());
            BatchAnswer answer = fresh.answer(ticket).orElseThrow();
            seen.add(answer.getClass());
            fresh.site.platform().silenceWhere(_node -> false);
            fresh.run(5000);
            if (answer instanceof BatchAnswer.NotAccepted) {
                assertThat(fresh.runs).as("not run, silent after %d ms", moment).isEmpty();
            } else if (answer instanceof BatchAnswer.Accepted) {
                assertThat(fresh.listed("job"))
                        .as("accepted, silent after %d ms", moment)
                        .hasSize(4);
            }
        }
        assertThat(seen)
                .containsExactlyInAnyOrder(
                        BatchAnswer.NotAccepted.class, BatchAnswer.Unsure.class, BatchAnswer.Accepted.class);
    }

    @Test
    void callsAboutAJobAreAnsweredByTheirDeadlinesWhileThePlatformIsSilent() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 4));
        site.run(600);
        site.site.platform().silenceWhere(_node -> true);
        List<Long> tickets = List.of(
                site.read(second, "job", 0, Duration.ofMillis(300)),
                site.read(second, "unknown", 0, Duration.ofMillis(300)),
                site.body(second, "unknown", "unknown-0"),
                site.end(second, "job"));
        site.run(2320);
        assertThat(tickets).allMatch(ticket -> site.answer(ticket)
                .filter(answer -> answer instanceof BatchAnswer.Unsure)
                .isPresent());
    }

    /** Guards against ends that are rejected as not run although the write whose answer was lost has ended the job. */
    @Test
    void anEndIsRejectedOnlyIfItDefinitelyHadNoEffect() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 4));
        site.run(600);
        site.site.platform().failWhere((_node, call) -> writesTo(call, BatchObjects.INDEX));
        long refused = site.end(node, "job");
        site.run(100);
        assertThat(site.answer(refused).orElseThrow()).isInstanceOf(BatchAnswer.NotAccepted.class);
        site.site.platform().failWhere(BatchSystemTest::never);
        site.site.platform().loseAnswersWhere((_node, call) -> writesTo(call, BatchObjects.INDEX));
        long unsure = site.end(node, "job");
        site.run(100);
        assertThat(site.answer(unsure).orElseThrow()).isInstanceOf(BatchAnswer.Unsure.class);
    }

    @Test
    void aSubmissionOfAJobThatMayAlreadyBeAcceptedIsNotRejectedAsNotRun() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.submit(first, BatchSite.job("job", 4));
        site.site.platform().failWhere((node, call) -> node.equals("node-2") && writesTo(call, BatchObjects.INDEX));
        long again = site.submit(second, BatchSite.job("job", 4));
        site.run(1000);
        assertThat(site.listed("job")).hasSize(4);
        assertThat(site.answer(again).orElseThrow()).isInstanceOf(BatchAnswer.Unsure.class);
    }

    @Test
    void aSecondSubmissionAtAnotherNodeIsAcceptedAndRunsNoItemTwice() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.submit(first, BatchSite.job("job", 6));
        site.run(100);
        long again = site.submit(second, BatchSite.job("job", 6));
        site.run(3000);
        assertThat(site.answer(again)).contains(new BatchAnswer.Accepted());
        assertThat(site.runs.values()).containsOnly(1);
    }

    @Test
    void anIdentifierOfADifferentJobIsRejected() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.submit(first, BatchSite.job("job", 6));
        site.run(100);
        long other = site.submit(second, BatchSite.job("job", 5));
        site.run(100);
        assertThat(site.answer(other)).contains(new BatchAnswer.Mismatch());
    }

    @Test
    void anAttemptAtARestartedEngineResumesAtAnotherEngineAtOnce() {
        site.registerEngine("engine-1", 1, 3);
        site.registerEngine("engine-2", 1, 3);
        TestNode node = site.node("node-1");
        site.run(100);
        EndpointName silent = new EndpointName(BatchSite.POOL, "engine-1", 3);
        site.engines(run ->
                run.endpoint().name().equals(silent) ? Optional.empty() : Optional.of(BatchSite.completed(run, 1)));
        site.submit(node, BatchSite.job("job", 4));
        site.run(500);
        assertThat(site.listed("job")).hasSize(2);
        site.registerEngine("engine-1", 1, 7);
        site.run(500);
        assertThat(site.cancelled).hasSize(2);
        for (BatchEffect.Cancel cancel : List.copyOf(site.cancelled)) {
            BatchEffect.Run broken = site.started.stream()
                    .filter(run -> run.item().id().equals(cancel.item()) && run.attempt() == cancel.attempt())
                    .findFirst()
                    .orElseThrow();
            node.accept(BatchSite.ended(
                    broken, new AttemptOutcome.Interrupted("broken off", false), BatchSite.text(broken, 2, 1)));
        }
        site.run(500);
        assertThat(site.listed("job")).hasSize(4);
        assertThat(site.started.get(site.started.size() - 1).lastEventId()).isEqualTo(2);
    }

    @Test
    void anAttemptIsCancelledOnceAlthoughTheRegistryChangesAgain() {
        site.registerEngine("engine-1", 1, 3);
        site.registerEngine("engine-2", 1, 3);
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 1));
        site.run(300);
        for (int start = 5; start < 8; start++) {
            site.registerEngine("engine-1", 1, start);
            site.registerEngine("engine-2", 1, start);
            site.run(500);
        }
        assertThat(site.cancelled).hasSize(1);
    }

    @Test
    void twoNodesThatRunJobsDoNotOverfillTheSameEngine() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job-a", 6));
        site.run(1500);
        site.submit(second, submittedAt(BatchSite.job("job-b", 6), 2000));
        site.run(1500);
        Map<EndpointName, Long> runs = site.started.stream()
                .collect(Collectors.groupingBy(run -> run.endpoint().name(), Collectors.counting()));
        assertThat(runs.values()).allMatch(count -> count <= 4);
        assertThat(site.started).hasSize(8);
    }

    @Test
    void aLaterJobLeavesTheSlotsThatAnEarlierOneAtAnotherNodeWaitsFor() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        List<BatchEffect.Run> held = new ArrayList<>();
        site.engines(run -> {
            held.add(run);
            return Optional.empty();
        });
        site.submit(first, BatchSite.job("job-a", 12));
        site.run(1500);
        site.submit(second, submittedAt(BatchSite.job("job-b", 4), 2000));
        site.run(1000);
        List<BatchEffect.Run> ending = List.copyOf(held.subList(0, 4));
        ending.forEach(run -> first.accept(BatchSite.completed(run, 1)));
        site.run(600);
        assertThat(held).hasSize(12).allMatch(run -> run.id().value().equals("job-a"));
        List.copyOf(held.subList(4, 8)).forEach(run -> first.accept(BatchSite.completed(run, 1)));
        site.run(600);
        assertThat(held).hasSize(16);
    }

    @Test
    void slotsThatAnEarlierJobCantUseAreLeftToItForALimitedTime() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        NodeIdentity other = new NodeIdentity(new NodeName("node-9"), 1);
        BatchMessage.EnginesInUse waits = new BatchMessage.EnginesInUse(
                Map.of(), Map.of(), Map.of(), List.of(new BatchMessage.Demand(BatchSite.MODEL, 10, 100, 0)));
        node.accept(new PeerEvent.Received(other, waits));
        site.submit(node, BatchSite.job("job", 4));
        for (int i = 0; i < 5; i++) {
            node.accept(new PeerEvent.Received(other, waits));
            site.run(100);
        }
        assertThat(site.started).isEmpty();
        for (int i = 0; i < 5; i++) {
            node.accept(new PeerEvent.Received(other, waits));
            site.run(100);
        }
        assertThat(site.started).hasSize(4);
    }

    @Test
    void theEngineLoadsOfAnotherNodeExpireOnceItStopsReporting() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job-a", 12));
        site.run(1500);
        site.submit(second, submittedAt(BatchSite.job("job-b", 4), 2000));
        site.run(300);
        site.kill(first);
        site.started.clear();
        site.run(700);
        assertThat(site.started).anyMatch(run -> run.id().value().equals("job-b"));
    }

    @Test
    void theGroupsOfASplitRouteGoToItsPoolsByWeight() {
        for (int i = 0; i < 20; i++) {
            site.registerEngine("other-" + i, 1, 0);
            site.registerEngine("engine-" + i, 1, 0);
        }
        site.splitRoute(3, 1);
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 60));
        site.run(300);
        long other = site.started.stream()
                .filter(run -> run.endpoint().name().value().startsWith("other"))
                .count();
        assertThat(other).isBetween(8L, 24L);
    }

    @Test
    void theItemsOfASplitRouteGoToTheOtherPoolIfOneIsFull() {
        site.registerEngine("other-1", 1, 0);
        site.splitRoute(1, 1);
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 12));
        site.run(300);
        assertThat(site.started).hasSize(12);
    }

    @Test
    void aCompletedGroupIsListedWithoutTheLongDelayAfterTheLastResults() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(
                run -> run.item().group().equals("g0") ? Optional.empty() : Optional.of(BatchSite.completed(run, 1)));
        site.submit(node, BatchSite.job("job", 4));
        site.run(160);
        int before = writes("job");
        assertThat(site.listed("job")).containsExactlyInAnyOrder("job-2", "job-3");
        site.started.stream()
                .filter(run -> run.item().group().equals("g0"))
                .forEach(run -> node.accept(BatchSite.completed(run, 1)));
        site.run(120);
        assertThat(writes("job")).isGreaterThan(before);
        assertThat(site.listed("job")).hasSize(4);
    }

    @Test
    void noResultIsReturnedBeforeThePlatformStoresIt() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.job("job", 4));
        site.site.platform().failWhere((_node, call) -> writesTo(call, BatchObjects.results(new BatchJobId("job"))));
        site.run(2000);
        assertThat(site.runs).hasSize(4);
        long read = site.read(node, "job", 0, Duration.ofMillis(100));
        site.run(300);
        assertThat(site.answer(read)).contains(new BatchAnswer.Results(4, 0, List.of()));
    }

    @Test
    void allNodesReturnTheSameResultsAtTheSamePositions() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.submit(first, BatchSite.job("job", 8));
        site.run(2000);
        long here = site.read(first, "job", 3, Duration.ZERO);
        long there = site.read(second, "job", 3, Duration.ZERO);
        site.run(300);
        assertThat(site.answer(here)).isPresent().isEqualTo(site.answer(there));
        assertThat(((BatchAnswer.Results) site.answer(there).orElseThrow()).results())
                .hasSize(5);
    }

    @Test
    void aReadThatWaitsIsAnsweredAsSoonAsAResultIsListed() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 2));
        site.run(100);
        long read = site.read(second, "job", 0, Duration.ofSeconds(1));
        site.run(300);
        assertThat(site.answer(read)).isEmpty();
        first.accept(BatchSite.completed(site.started.get(0), 1));
        site.run(300);
        assertThat(((BatchAnswer.Results) site.answer(read).orElseThrow()).results())
                .hasSize(1);
    }

    @Test
    void aJobThatWasNeverAcceptedIsUnknownAndReadsAreUnsureWhileThePlatformIsUnreachable() {
        TestNode node = site.node("node-1");
        site.run(100);
        long unknown = site.read(node, "none", 0, Duration.ZERO);
        site.run(100);
        assertThat(site.answer(unknown)).contains(new BatchAnswer.Unknown());
        site.site.platform().failWhere((_node, _call) -> true);
        long unsure = site.read(node, "other", 0, Duration.ZERO);
        site.run(100);
        assertThat(site.answer(unsure).orElseThrow()).isInstanceOf(BatchAnswer.Unsure.class);
    }

    @Test
    void theBodyOfAnItemIsReadAtAnyNode() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        BatchJob job = BatchSite.job("job", 3);
        site.submit(first, job);
        site.run(100);
        long here = site.body(first, "job", "job-1");
        long there = site.body(second, "job", "job-1");
        site.run(100);
        BatchAnswer expected = new BatchAnswer.Body(job.items().get(1).body());
        assertThat(site.answer(here)).contains(expected);
        assertThat(site.answer(there)).contains(expected);
    }

    @Test
    void aRestartedNodeResumesItsJobs() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 4));
        site.run(100);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.kill(node);
        site.node("node-1");
        site.run(1000);
        assertThat(site.listed("job")).hasSize(4).doesNotHaveDuplicates();
    }

    @Test
    void aRestartedNodeThatCantReadItsJobRetriesAtIntervals() {
        TestNode first = site.node("node-1");
        site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 4));
        site.run(100);
        site.kill(first);
        site.site.platform().failWhere((node, call) -> node.equals("node-1") && call instanceof PlatformEffect.Read);
        TestNode again = site.node("node-1");
        site.run(3000);
        assertThat(again.decisions())
                .filteredOn(decision -> decision.toString().contains("not loaded"))
                .hasSizeBetween(3, 6);
        site.site.platform().failWhere(BatchSystemTest::never);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.run(2500);
        assertThat(site.listed("job")).hasSize(4).doesNotHaveDuplicates();
    }

    @Test
    void theJobsOfAFailedNodeAreTakenOverByOneOtherNode() {
        TestNode first = site.node("node-1");
        site.node("node-2");
        site.node("node-3");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 4));
        site.run(100);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.kill(first);
        site.run(5000);
        assertThat(site.listed("job")).hasSize(4).doesNotHaveDuplicates();
        assertThat(site.runs.values())
                .as("run once by the failed node, once by its successor")
                .containsOnly(2);
    }

    @Test
    void twoNodesThatBothRunAJobNeverListAnItemTwice() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 8));
        site.run(100);
        first.freeze(true);
        site.site.markGone("node-1");
        site.engines(
                run -> run.item().id().endsWith("3") ? Optional.empty() : Optional.of(BatchSite.completed(run, 1)));
        site.run(4000);
        List<BatchEffect.Run> ofFirst = site.started.subList(0, 8);
        first.freeze(false);
        ofFirst.forEach(run -> first.accept(BatchSite.completed(run, 1)));
        site.run(3000);
        site.started.stream()
                .skip(8)
                .filter(run -> run.item().id().endsWith("3"))
                .forEach(run -> second.accept(BatchSite.completed(run, 1)));
        site.run(1000);
        assertThat(site.listed("job")).hasSize(8).doesNotHaveDuplicates();
    }

    @Test
    void anEndAtAnyNodeStopsTheItemsAtTheRunner() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 4));
        site.run(100);
        long end = site.end(second, "job");
        site.run(100);
        assertThat(site.answer(end)).contains(new BatchAnswer.Ended());
        assertThat(second.take(PeerEffect.Send.class))
                .extracting(PeerEffect.Send::message)
                .contains(new BatchMessage.Ended("job"));
        site.run(50);
        assertThat(site.cancelled).hasSize(4);
        long again = site.end(first, "job");
        site.run(100);
        assertThat(site.answer(again)).contains(new BatchAnswer.Ended());
    }

    @Test
    void aRunnerThatMissesTheNotificationFindsTheEndInTheIndex() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 4));
        site.run(100);
        site.site.connect((_from, _to) -> true);
        site.end(second, "job");
        site.run(2500);
        assertThat(site.cancelled).hasSize(4);
    }

    @Test
    void aRunnerWhoseNewListOfTheIndexOmitsAnEndedJobFindsTheEnd() {
        TestNode runner = site.node("node-1");
        site.run(500);
        site.engines(_run -> Optional.empty());
        site.submit(runner, BatchSite.job("job", 4));
        site.run(1000);
        site.site.platform().failWhere((_node, call) -> call instanceof PlatformEffect.Watch);
        BatchIndexEntry entry =
                new BatchIndexEntry(new BatchJobId("job"), new NodeName("node-1"), true, 4, BatchSite.MODEL);
        site.site
                .platform()
                .put(BatchObjects.INDEX, "job", site.codec.writeEntry(entry).toUtf8());
        site.run(500);
        site.site.platform().compact();
        site.site.platform().failWhere(BatchSystemTest::never);
        site.run(5000);
        assertThat(site.cancelled).hasSize(4);
    }

    @Test
    void anEndedJobThatTheIndexOmitsIsReadEndedAndSubmittedAgainAsBefore() {
        TestNode first = site.node("node-1");
        site.run(500);
        site.submit(first, BatchSite.job("job", 4));
        site.run(2000);
        site.end(first, "job");
        site.run(1000);
        site.kill(first);
        TestNode second = site.node("node-2");
        site.run(5000);
        site.runs.clear();
        long read = site.read(second, "job", 0, Duration.ofSeconds(1));
        long end = site.end(second, "job");
        long submission = site.submit(second, BatchSite.job("job", 4));
        site.run(3000);
        assertThat(site.answer(read)
                        .map(answer -> ((BatchAnswer.Results) answer).results())
                        .orElseThrow())
                .hasSize(4);
        assertThat(site.answer(end)).contains(new BatchAnswer.Ended());
        assertThat(site.answer(submission)).contains(new BatchAnswer.Accepted());
        assertThat(site.runs).as("no item runs again").isEmpty();
    }

    @Test
    void anInterruptedItemResumesAfterItsLastEvent() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(run -> Optional.of(
                run.attempt() == 1
                        ? BatchSite.ended(run, new AttemptOutcome.Interrupted("cut", false), BatchSite.text(run, 2, 1))
                        : BatchSite.completed(run, 1)));
        site.submit(node, BatchSite.job("job", 1));
        site.run(2000);
        assertThat(site.started.get(1).lastEventId()).isEqualTo(2);
        assertThat(site.results("job").get(0).output().toUtf8()).isEqualTo("e1\ne2\ne3");
    }

    @Test
    void anOutputOlderThanTheMinimumVersionIsNotListed() {
        TestNode node = site.node("node-1");
        site.registerEngine("engine-1", 2);
        site.registerEngine("engine-2", 2);
        site.run(100);
        site.engines(run -> Optional.of(BatchSite.completed(run, run.attempt() == 1 ? 1 : 2)));
        site.submit(node, BatchSite.job("job", 1, 2));
        site.run(3000);
        assertThat(site.results("job").get(0).versions()).containsExactly(2L);
    }

    @Test
    void noItemStartsWhileAllEnginesAreOlderThanTheMinimumVersion() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.job("job", 2, 5));
        site.run(1000);
        assertThat(site.runs).isEmpty();
        site.registerEngine("engine-1", 5);
        site.run(1000);
        assertThat(site.runs).hasSize(2);
    }

    @Test
    void aResultOfTwoVersionsIsNotListedIfASingleVersionIsRequired() {
        site.demandSingleVersion();
        TestNode node = site.node("node-1");
        site.run(100);
        ItemText mixed = new ItemText(1, List.of(io.yuccaswitch.core.value.Bytes.ofUtf8("x")), List.of(1L, 2L));
        site.engines(run -> Optional.of(
                run.attempt() == 1
                        ? BatchSite.ended(run, new AttemptOutcome.Completed(), mixed)
                        : BatchSite.completed(run, 1)));
        site.submit(node, BatchSite.job("job", 1));
        site.run(3000);
        assertThat(site.results("job").get(0).versions()).containsExactly(1L);
    }

    @Test
    void anItemIsAbandonedAfterAsManyFailuresAsTheRouteAllows() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(run -> Optional.of(BatchSite.ended(run, new AttemptOutcome.Failed(), ItemText.EMPTY)));
        site.submit(node, BatchSite.job("job", 1));
        site.run(6000);
        assertThat(site.runs).containsEntry("job-0", 3);
        assertThat(site.results("job").get(0).completed()).isFalse();
    }

    @Test
    void anItemThatCanNeverCompleteIsAbandonedAtOnce() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(
                run -> Optional.of(BatchSite.ended(run, new AttemptOutcome.Impossible("status 422"), ItemText.EMPTY)));
        site.submit(node, BatchSite.job("job", 1));
        site.run(1000);
        assertThat(site.runs).containsEntry("job-0", 1);
        assertThat(site.results("job").get(0).completed()).isFalse();
    }

    @Test
    void resultsWhoseWriteAnswersWereLostAreListedOnce() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.site
                .platform()
                .loseAnswersWhere((_node, call) -> writesTo(call, BatchObjects.results(new BatchJobId("job"))));
        site.submit(node, BatchSite.job("job", 6));
        site.run(1000);
        site.site.platform().loseAnswersWhere(BatchSystemTest::never);
        site.run(2000);
        assertThat(site.listed("job")).hasSize(6).doesNotHaveDuplicates();
        long read = site.read(node, "job", 0, Duration.ZERO);
        site.run(100);
        assertThat(((BatchAnswer.Results) site.answer(read).orElseThrow()).next())
                .isEqualTo(6);
    }

    @Test
    void aFormerRunnerThatMissedTheTakeoverReturnsTheResultsOfItsSuccessor() {
        TestNode first = site.node("node-1");
        site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 4));
        site.run(100);
        site.site.platform().failWhere((node, call) -> node.equals("node-1") && readsIndex(call));
        site.site.connect((_from, _to) -> true);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.site.markGone("node-1");
        site.run(4000);
        assertThat(site.listed("job")).hasSize(4);
        long read = site.read(first, "job", 3, Duration.ofMillis(100));
        site.run(300);
        assertThat(((BatchAnswer.Results) site.answer(read).orElseThrow()).results())
                .hasSize(1);
        site.started.subList(0, 4).forEach(run -> first.accept(BatchSite.completed(run, 1)));
        site.run(1000);
        assertThat(site.listed("job")).hasSize(4).doesNotHaveDuplicates();
    }

    @Test
    void theJobsOfALeavingNodeAreNotTakenOverWhileItRuns() {
        TestNode first = site.node("node-1");
        site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 4));
        site.run(100);
        site.site.markLeaving("node-1");
        site.run(4000);
        assertThat(site.runs.values()).containsOnly(1);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.kill(first);
        site.run(4000);
        assertThat(site.listed("job")).hasSize(4).doesNotHaveDuplicates();
    }

    @Test
    void anEngineThatRefusesItemsIsTriedWithOneAtATimeUntilItRunsOne() {
        TestNode node = site.node("node-1");
        site.site.platform().remove(io.yuccaswitch.core.registry.EndpointRegistrySystem.KIND, "engine-2");
        site.run(300);
        site.engines(run -> Optional.of(BatchSite.ended(run, new AttemptOutcome.Refused("loading"), ItemText.EMPTY)));
        site.submit(node, BatchSite.job("job", 8));
        site.run(1000);
        assertThat(site.started)
                .as("four at first, then single items with growing delays")
                .hasSizeLessThan(10);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.run(2000);
        assertThat(site.listed("job")).hasSize(8);
    }

    @Test
    void anItemAtAnEngineThatHasBecomeSlowResumesAtAnother() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 2));
        site.run(100);
        BatchEffect.Run slow = site.started.get(0);
        BatchEffect.Run fast = site.started.stream()
                .filter(run -> !run.endpoint().equals(slow.endpoint()))
                .findFirst()
                .orElseGet(() -> onTheOtherEngine(node));
        node.accept(new BatchEvent.Progressed(List.of(progress(fast, 40), progress(slow, 9))));
        site.run(50);
        assertThat(site.cancelled)
                .as("all items leave the engine, as many as the other one has free slots for")
                .containsExactly(
                        new BatchEffect.Cancel(slow.id(), slow.item().id(), slow.attempt()),
                        new BatchEffect.Cancel(slow.id(), "job-0", 1));
        node.accept(
                BatchSite.ended(slow, new AttemptOutcome.Interrupted("cancelled", false), BatchSite.text(slow, 2, 1)));
        site.run(100);
        BatchEffect.Run moved = site.started.get(site.started.size() - 1);
        assertThat(moved.item()).isEqualTo(slow.item());
        assertThat(moved.lastEventId()).isEqualTo(2);
        assertThat(moved.endpoint()).isEqualTo(fast.endpoint());
    }

    @Test
    void aLongItemLeavesAnEngineThatBecomesSlowWithinHalfASecond() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 2));
        site.run(100);
        BatchEffect.Run slow = site.started.get(0);
        BatchEffect.Run fast = onTheOtherEngine(node);
        node.accept(new BatchEvent.Progressed(List.of(progress(fast, 200, 8000), progress(slow, 200, 8000))));
        site.run(20);
        node.accept(new BatchEvent.Progressed(List.of(progress(fast, 206, 8250), progress(slow, 202, 8250))));
        site.run(20);
        assertThat(site.cancelled).as("one reading is insufficient evidence").isEmpty();
        node.accept(new BatchEvent.Progressed(List.of(progress(fast, 212, 8500), progress(slow, 204, 8500))));
        site.run(20);
        assertThat(site.cancelled)
                .containsExactly(
                        new BatchEffect.Cancel(slow.id(), slow.item().id(), slow.attempt()),
                        new BatchEffect.Cancel(slow.id(), "job-0", 1));
    }

    @Test
    void anEngineThatIsSlightlySlowerKeepsItsItems() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 2));
        site.run(100);
        BatchEffect.Run first = site.started.get(0);
        BatchEffect.Run other = onTheOtherEngine(node);
        node.accept(new BatchEvent.Progressed(List.of(progress(other, 40), progress(first, 25))));
        site.run(50);
        assertThat(site.cancelled).isEmpty();
    }

    private int writes(String job) {
        return site.site
                .platform()
                .all(BatchObjects.results(new BatchJobId(job)))
                .size();
    }

    private BatchEffect.Run onTheOtherEngine(TestNode node) {
        site.submit(node, BatchSite.job("other", 4));
        site.run(100);
        return site.started.stream()
                .filter(run -> !run.endpoint().equals(site.started.get(0).endpoint()))
                .findFirst()
                .orElseThrow();
    }

    private static BatchEvent.Progress progress(BatchEffect.Run run, long events) {
        return progress(run, events, 1500);
    }

    private static BatchEvent.Progress progress(BatchEffect.Run run, long events, int millis) {
        return new BatchEvent.Progress(run.id(), run.item().id(), run.attempt(), events, Duration.ofMillis(millis));
    }

    private static boolean readsIndex(PlatformEffect call) {
        return (call instanceof PlatformEffect.ListKind list && list.kind().equals(BatchObjects.INDEX))
                || (call instanceof PlatformEffect.Watch watch && watch.kind().equals(BatchObjects.INDEX));
    }

    private static boolean never(String _node, PlatformEffect _call) {
        return false;
    }

    private static boolean writesTo(PlatformEffect call, String kind) {
        return call instanceof PlatformEffect.Write write && write.key().kind().equals(kind);
    }

    private static BatchJob submittedAt(BatchJob job, long millis) {
        return new BatchJob(job.id(), job.host(), job.path(), job.model(), job.minimumVersion(), millis, job.items());
    }
}
