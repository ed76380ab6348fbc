package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests reads at a node that does not run the job. The runner answers most of them, which saves calls to the platform.
 */
final class RunnerReadTest {

    private final BatchSite site = new BatchSite();
    private TestNode runner;
    private TestNode reader;

    @BeforeEach
    void startNodes() {
        runner = site.node("node-1");
        reader = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(runner, BatchSite.job("job", 4));
        site.run(600);
    }

    @Test
    void aReadAnsweredByTheRunnerMakesNoCallToThePlatform() {
        long read = site.read(reader, "job", 0, Duration.ofSeconds(1));
        site.run(50);
        int before = callsForResults();
        runner.accept(BatchSite.completed(site.started.get(0), 1));
        site.run(400);
        assertThat(((BatchAnswer.Results) site.answer(read).orElseThrow()).results())
                .hasSize(1);
        assertThat(callsForResults()).isEqualTo(before);
    }

    @Test
    void anEmptyAnswerIsGivenOnlyAfterThePlatformWasQueried() {
        site.site.platform().failWhere((node, _call) -> node.equals("node-2"));
        long unsure = site.read(reader, "job", 0, Duration.ofMillis(300));
        site.run(600);
        assertThat(site.answer(unsure).orElseThrow()).isInstanceOf(BatchAnswer.Unsure.class);
        site.site.platform().failWhere((_node, _call) -> false);
        long nothing = site.read(reader, "job", 0, Duration.ofMillis(300));
        site.run(600);
        assertThat(site.answer(nothing)).contains(new BatchAnswer.Results(4, 0, List.of()));
    }

    @Test
    void aReadUsesThePlatformIfTheRunnerIsPartitioned() {
        site.site.connect((_from, _to) -> true);
        long read = site.read(reader, "job", 0, Duration.ofMillis(800));
        runner.accept(BatchSite.completed(site.started.get(0), 1));
        site.run(1200);
        assertThat(((BatchAnswer.Results) site.answer(read).orElseThrow()).results())
                .hasSize(1);
    }

    @Test
    void aRestartedRunnerDeclinesAndThePlatformIsQueried() {
        runner.accept(BatchSite.completed(site.started.get(0), 1));
        site.run(400);
        site.site.platform().failWhere((node, call) -> node.equals("node-1") && call instanceof PlatformEffect.Read);
        site.kill(runner);
        site.node("node-1");
        site.run(30);
        long read = site.read(reader, "job", 0, Duration.ofMillis(500));
        site.run(200);
        assertThat(((BatchAnswer.Results) site.answer(read).orElseThrow()).results())
                .hasSize(1);
    }

    @Test
    void aReadOfAJobJustAcceptedByAnotherNodeWaitsForTheIndex() {
        site.submit(runner, BatchSite.job("fresh", 2));
        site.run(50);
        int before = site.site.platform().log().size();
        long read = site.read(reader, "fresh", 0, Duration.ofSeconds(1));
        site.run(500);
        assertThat(site.site
                        .platform()
                        .log()
                        .subList(before, site.site.platform().log().size()))
                .noneMatch(call -> call instanceof PlatformEffect.Read
                        || kindOf(call).equals(BatchObjects.results(new BatchJobId("fresh"))));
        runner.accept(BatchSite.completed(site.started.get(site.started.size() - 1), 1));
        site.run(400);
        assertThat(((BatchAnswer.Results) site.answer(read).orElseThrow()).results())
                .hasSize(1);
    }

    @Test
    void aJobThatTheIndexNeverShowsIsReadFromThePlatform() {
        site.site.connect((_from, _to) -> true);
        long read = site.read(reader, "none", 0, Duration.ofSeconds(1));
        site.run(900);
        assertThat(site.answer(read)).contains(new BatchAnswer.Unknown());
    }

    @Test
    void anAnswerToARequestOfAnEarlierIncarnationIsIgnored() {
        long read = site.read(reader, "job", 0, Duration.ofSeconds(1));
        site.run(50);
        BatchResult strange = new BatchResult("other-0", true, Bytes.ofUtf8("strange"), List.of(1L), Optional.empty());
        reader.accept(new PeerEvent.Received(
                runner.self().identity(), new BatchMessage.ResultsRead(read, "other", 0, 4, 1, List.of(strange))));
        site.run(100);
        assertThat(site.answer(read)).isEmpty();
    }

    @Test
    void theBodyOfAnItemComesFromTheRunner() {
        int before = site.site.platform().log().size();
        long body = site.body(reader, "job", "job-2");
        site.run(50);
        assertThat(site.answer(body))
                .contains(new BatchAnswer.Body(
                        BatchSite.job("job", 4).items().get(2).body()));
        assertThat(site.site
                        .platform()
                        .log()
                        .subList(before, site.site.platform().log().size()))
                .noneMatch(call -> call instanceof PlatformEffect.Read);
    }

    @Test
    void theBodyOfAnItemComesFromThePlatformIfTheRunnerIsPartitioned() {
        site.site.connect((_from, _to) -> true);
        long body = site.body(reader, "job", "job-2");
        site.run(500);
        assertThat(site.answer(body))
                .contains(new BatchAnswer.Body(
                        BatchSite.job("job", 4).items().get(2).body()));
    }

    @Test
    void anEndAtANodeWithACopyOfTheEntryNeedsOneCall() {
        int before = site.site.platform().log().size();
        site.end(reader, "job");
        site.run(40);
        assertThat(site.site
                        .platform()
                        .log()
                        .subList(before, site.site.platform().log().size()))
                .filteredOn(call -> call instanceof PlatformEffect.Read || call instanceof PlatformEffect.Write)
                .hasSize(1);
    }

    private int callsForResults() {
        String kind = BatchObjects.results(new BatchJobId("job"));
        return (int) site.site.platform().log().stream()
                .filter(call -> kind.equals(kindOf(call)))
                .count();
    }

    private static String kindOf(PlatformEffect call) {
        if (call instanceof PlatformEffect.ListKind list) {
            return list.kind();
        }
        return call instanceof PlatformEffect.Watch watch ? watch.kind() : "";
    }
}
