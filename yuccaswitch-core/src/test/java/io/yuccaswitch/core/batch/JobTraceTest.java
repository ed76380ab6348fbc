package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that the lines about a job tell which node ran it, from which results, and what it listed and read. */
final class JobTraceTest {

    private static final BatchJobId ID = new BatchJobId("job");

    private final BatchSite site = new BatchSite();
    private final TestNode node = start("node-1");

    @Test
    void theStartOfASubmittedJobNamesItsReasonItsLogAndTheNode() {
        site.submit(node, BatchSite.job("job", 4));
        site.run(200);
        assertThat(reasons(node, "batch-job", "run here"))
                .containsExactly("accepted here, model model-a minimum version 1 items 4 remaining 4 listed 0"
                        + " in objects 0 never read texts 0 with events 0, no load is in progress, node node-1@1");
    }

    @Test
    void theStartOfASubmissionWithoutAnAnswerTellsThatItsEntryWasReadBack() {
        site.site.platform().loseAnswersWhere((_node, call) -> writes(call, BatchObjects.INDEX));
        site.submit(node, BatchSite.job("job", 4));
        site.run(1000);
        assertThat(reasons(node, "batch-job", "run here"))
                .singleElement()
                .asString()
                .startsWith("accepted here, entry read back, ");
    }

    @Test
    void theStartOfAHandedOverJobNamesTheNodeThatAcceptedIt() {
        site.site.capacity("strong", 150);
        site.site.capacity("node-1", 36);
        TestNode strong = start("strong");
        site.submit(node, BatchSite.job("job", 4));
        site.run(500);
        assertThat(reasons(strong, "batch-job", "run here"))
                .singleElement()
                .asString()
                .startsWith("handed over by node-1, ");
    }

    @Test
    void theObjectsOfAJobAreNamedWithTheirNumbersPositionsAndItems() {
        site.submit(node, BatchSite.job("job", 4));
        site.run(2000);
        assertThat(reasons(node, "batch-results", "listed"))
                .containsExactly("object 0 with 4 results at positions 0 to 3, 4 in total, items job-{0..3},"
                        + " node node-1@1");
        assertThat(reasons(node, "batch-job", "finished"))
                .containsExactly("all results are listed, log has objects 1 results 4 never read, node node-1@1");
    }

    @Test
    void anObjectOfAnotherNodeIsNamedWithItsItems() {
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 4));
        site.run(600);
        site.list("job", 0, List.of(BatchResult.abandoned("job-2")));
        site.started.forEach(run -> node.accept(BatchSite.completed(run, 1)));
        site.run(1000);
        assertThat(reasons(node, "batch-results", "listed before"))
                .containsExactly("object 0 with 1 results at positions 0 to 0, 1 in total, items job-2, node node-1@1");
        assertThat(reasons(node, "batch-results", "listed"))
                .containsExactly("object 1 with 3 results at positions 1 to 3, 4 in total, items job-{0..1,3},"
                        + " node node-1@1");
    }

    @Test
    void aRelayedObjectIsNamedAtBothNodes() {
        TestNode other = start("node-2");
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 2));
        site.run(600);
        site.site.platform().failWhere((name, _call) -> name.equals("node-1"));
        site.started.forEach(run -> node.accept(BatchSite.completed(run, 1)));
        site.run(800);
        assertThat(reasons(node, "batch-results", "listed by node-2"))
                .containsExactly("object 0 with 2 results at positions 0 to 1, 2 in total, items job-{0..1},"
                        + " node node-1@1");
        assertThat(reasons(other, "batch-relay", "listed"))
                .containsExactly(
                        "object 0 for node-1, the platform answered Accepted, items job-{0..1}, node node-2@1");
    }

    @Test
    void aRestartedNodeTellsWhatItLoadedAndFromWhichResultsItStarts() {
        site.engines(
                run -> run.item().id().equals("job-3") ? Optional.of(BatchSite.completed(run, 1)) : Optional.empty());
        site.submit(node, BatchSite.job("job", 4));
        site.run(1000);
        site.kill(node);
        TestNode restarted = start("node-1");
        site.run(1000);
        assertThat(reasons(restarted, "batch-load", "begun"))
                .containsExactly("own entry loaded from the index, there is no log, node node-1@1");
        assertThat(reasons(restarted, "batch-read", "appended"))
                .singleElement()
                .asString()
                .startsWith("objects 0 to 0 with 1 results at positions 0 to 0 by load,"
                        + " log has objects 1 results 1 read to version ");
        assertThat(reasons(restarted, "batch-load", "ended"))
                .singleElement()
                .asString()
                .startsWith("the job starts, own entry loaded from the index, read objects 1 results 1,"
                        + " log has objects 1 results 1 ");
        assertThat(reasons(restarted, "batch-job", "run here"))
                .singleElement()
                .asString()
                .startsWith("own entry loaded from the index, ")
                .contains(" items 4 remaining 3 listed 1 in objects 1 read to version ");
    }

    @Test
    void aJobThatIsTakenOverNamesItsEarlierRunner() {
        TestNode other = start("node-2");
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 4));
        site.run(600);
        site.kill(node);
        site.run(5000);
        assertThat(reasons(other, "batch-job", "run here"))
                .singleElement()
                .asString()
                .startsWith("taken over from node-1, ");
    }

    @Test
    void aStoppedJobTellsWhichOfItsResultsAreNotListed() {
        site.site.platform().failWhere((_node, call) -> writes(call, BatchObjects.results(ID)));
        site.submit(node, BatchSite.job("job", 2));
        site.run(1000);
        site.end(node, "job");
        site.run(200);
        assertThat(reasons(node, "batch-results", "not listed"))
                .isNotEmpty()
                .allMatch(reason -> reason.startsWith("object 0, "));
        assertThat(reasons(node, "batch-job", "stop here"))
                .singleElement()
                .asString()
                .contains("items cancelled 0, log has objects 0 results 0 never read, results not listed 2,"
                        + " items job-{0..1}");
    }

    @Test
    void aWriteThatIsAnsweredAfterTheStopOfItsRunIsNamedAsOneOfAnEarlierRun() {
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 2));
        site.run(600);
        site.site.platform().delayAnswers(_node -> Duration.ofSeconds(1));
        site.started.forEach(run -> node.accept(BatchSite.completed(run, 1)));
        site.run(300);
        node.accept(new PeerEvent.Received(node.self().identity(), new BatchMessage.Ended("job")));
        site.run(2000);
        assertThat(reasons(node, "batch-job", "stop here"))
                .singleElement()
                .asString()
                .contains(", a write of results is in progress, ");
        assertThat(reasons(node, "batch-results", "listed"))
                .containsExactly("object 0 with 2 results at positions 0 to 1, 2 in total, items job-{0..1},"
                        + " begun by an earlier run or with an evicted log, node node-1@1");
    }

    @Test
    void aReaderTellsWhichObjectsItReadAndHow() {
        TestNode reader = start("node-2");
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 4));
        site.run(1000);
        site.site.connect((_from, _to) -> true);
        site.list("job", 0, List.of(BatchResult.abandoned("job-0"), BatchResult.abandoned("job-1")));
        site.read(reader, "job", 0, Duration.ZERO);
        site.run(100);
        assertThat(reasons(reader, "batch-read", "appended"))
                .singleElement()
                .asString()
                .startsWith("objects 0 to 0 with 2 results at positions 0 to 1 by list, ");
        site.read(reader, "job", 2, Duration.ofSeconds(3));
        site.run(1500);
        site.list("job", 1, List.of(BatchResult.abandoned("job-2")));
        site.run(2000);
        assertThat(reasons(reader, "batch-read", "appended"))
                .hasSize(2)
                .last()
                .asString()
                .startsWith("objects 1 to 1 with 1 results at positions 2 to 2 by ");
    }

    @Test
    void anEvictedLogIsNamedWithItsExtent() {
        site.engines(run -> Optional.of(BatchSite.ended(
                run,
                new AttemptOutcome.Completed(),
                new ItemText(1, List.of(Bytes.ofUtf8("x".repeat(4 << 20))), List.of(1L)))));
        site.submit(node, BatchSite.job("job", 2));
        site.run(3000);
        assertThat(reasons(node, "batch-log", "evicted"))
                .singleElement()
                .asString()
                .startsWith("the logs exceed the memory limit, log has objects 2 results 2 never read, bytes 8388608");
    }

    @Test
    void aStartDuringALoadIsNamedAndSupersedesTheLoad() {
        JobTrace trace = new JobTrace(node);
        Tick tick = new Tick(new MonotonicTime(0), List.of(), new SplittableRandom(1));
        ResultLog log = new ResultLog(ID, 4, tick.now());
        JobStart start = JobStart.from(JobStart.Cause.HANDED_OVER, new NodeName("node-2"));
        trace.loadBegun(tick, ID, JobStart.of(JobStart.Cause.LOADED), Optional.empty());
        trace.started(tick, new RunningJob(BatchSite.job("job", 4), log, tick.now(), tick.now(), 0), log, start, 0, 0);
        trace.loadEnded(tick, ID, JobTrace.LoadOutcome.SUPERSEDED, Optional.of(log));
        assertThat(tick.result().decisions())
                .extracting(Decision::choice)
                .containsExactly("begun", "run here", "superseded");
        assertThat(tick.result().effects())
                .containsExactly(
                        new JobObservation.LoadBegun(ID),
                        new JobObservation.Started(ID, JobStart.Cause.HANDED_OVER),
                        new JobObservation.LoadEnded(ID));
        assertThat(tick.result().decisions().get(1).reason())
                .startsWith("handed over by node-2, ")
                .contains(", a load is in progress, ");
    }

    @Test
    void objectsAfterAGapAreNamedAsSkipped() {
        PlainBatchCodec codec = new PlainBatchCodec();
        JobTrace trace = new JobTrace(node);
        Tick tick = new Tick(new MonotonicTime(0), List.of(), new SplittableRandom(1));
        ResultLog log = new ResultLog(ID, 4, tick.now());
        StoredObject second = new StoredObject(
                new ObjectKey(BatchObjects.results(ID), BatchObjects.name(1)),
                7,
                codec.writeResults(List.of(BatchResult.abandoned("job-1"))),
                false);
        JobTrace.Extent before = JobTrace.Extent.of(log);
        log.apply(List.of(second), 7, codec);
        trace.read(tick, log, before, List.of(second), JobTrace.ReadWay.WATCH);
        assertThat(tick.result().decisions())
                .containsExactly(Decision.of(
                        "batch-read",
                        "job",
                        "incomplete",
                        "nothing by watch, log has objects 0 results 0 read to version 7, skipped 1 objects after a"
                                + " gap or unreadable, node node-1@1"));
    }

    @Test
    void itemsThatAreListedAgainAreReportedByEachNodeThatAppendsThem() {
        TestNode reader = start("node-2");
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 4));
        site.run(1000);
        site.site.connect((_from, _to) -> true);
        site.list("job", 0, List.of(BatchResult.abandoned("job-0"), BatchResult.abandoned("job-1")));
        site.list("job", 1, List.of(BatchResult.abandoned("job-2"), BatchResult.abandoned("job-1")));
        site.read(reader, "job", 0, Duration.ZERO);
        site.read(node, "job", 0, Duration.ZERO);
        site.run(500);
        List<RepeatedItem> expected = List.of(new RepeatedItem("job-1", 3, 1));
        assertThat(reader.take(JobObservation.ItemsRepeated.class))
                .containsExactly(new JobObservation.ItemsRepeated(reader.self().identity(), ID, 1, expected));
        assertThat(node.take(JobObservation.ItemsRepeated.class))
                .containsExactly(new JobObservation.ItemsRepeated(node.self().identity(), ID, 1, expected));
    }

    @Test
    void itemsThatAnotherNodeListedAgainAreReportedAtTheConflict() {
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("job", 2));
        site.run(600);
        site.list("job", 0, List.of(BatchResult.abandoned("job-1"), BatchResult.abandoned("job-1")));
        node.accept(BatchSite.completed(site.started.get(0), 1));
        site.run(1000);
        assertThat(node.take(JobObservation.ItemsRepeated.class))
                .singleElement()
                .extracting(JobObservation.ItemsRepeated::items)
                .isEqualTo(List.of(new RepeatedItem("job-1", 1, 0)));
    }

    @Test
    void aJobWhoseItemsAreListedOnceIsObservedWithoutRepeatedItems() {
        site.submit(node, BatchSite.job("job", 4));
        site.run(2000);
        assertThat(node.take(JobObservation.class))
                .containsExactly(
                        new JobObservation.Started(ID, JobStart.Cause.SUBMITTED),
                        new JobObservation.ObjectListed(ID, JobObservation.Origin.LISTED));
    }

    private TestNode start(String name) {
        TestNode started = site.node(name);
        site.run(300);
        return started;
    }

    private static boolean writes(PlatformEffect call, String kind) {
        return call instanceof PlatformEffect.Write write && write.key().kind().equals(kind);
    }

    private static List<String> reasons(TestNode node, String kind, String choice) {
        return node.decisions().stream()
                .filter(decision -> decision.subject().equals("job"))
                .filter(decision ->
                        decision.kind().equals(kind) && decision.choice().equals(choice))
                .map(Decision::reason)
                .toList();
    }
}
