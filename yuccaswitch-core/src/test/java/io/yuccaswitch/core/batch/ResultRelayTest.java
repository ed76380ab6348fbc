package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.site.TestNode;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the results of a node whose calls the platform rejects while it serves the other nodes. */
final class ResultRelayTest {

    private final BatchSite site = new BatchSite();
    private TestNode runner;
    private TestNode other;

    @BeforeEach
    void startNodesAndAJob() {
        runner = site.node("node-1");
        other = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(runner, BatchSite.job("job", 4));
        site.run(600);
    }

    @Test
    void anotherNodeListsTheResultsOfARunnerThatThePlatformRejects() {
        site.site.platform().failWhere((node, _call) -> node.equals("node-1"));
        site.started.forEach(run -> runner.accept(BatchSite.completed(run, 1)));
        site.run(800);
        assertThat(site.listed("job")).hasSize(4).doesNotHaveDuplicates();
        long read = site.read(other, "job", 0, Duration.ofMillis(300));
        site.run(400);
        assertThat(((BatchAnswer.Results) site.answer(read).orElseThrow()).results())
                .hasSize(4);
    }

    @Test
    void aResultIsListedOnceAlthoughTheRunnersOwnWriteIsAppliedLate() {
        site.site.platform().applyLateWhere((node, call) -> node.equals("node-1") && writesResults(call));
        runner.accept(BatchSite.completed(site.started.get(0), 1));
        site.run(200);
        site.site.platform().applyLate();
        site.started.stream().skip(1).forEach(run -> runner.accept(BatchSite.completed(run, 1)));
        site.run(2000);
        site.site.platform().applyLateWhere((_node, _call) -> false);
        site.site.platform().applyLate();
        site.run(2000);
        assertThat(site.listed("job")).hasSize(4).doesNotHaveDuplicates();
        long here = site.read(runner, "job", 0, Duration.ZERO);
        long there = site.read(other, "job", 0, Duration.ZERO);
        site.run(300);
        assertThat(site.answer(here)).isPresent().isEqualTo(site.answer(there));
    }

    @Test
    void anAnswerAboutAnotherObjectIsIgnored() {
        site.site.connect((_from, _to) -> true);
        site.site.platform().failWhere((node, _call) -> node.equals("node-1"));
        runner.accept(BatchSite.completed(site.started.get(0), 1));
        site.run(50);
        BatchMessage.StoreResults asked = runner.take(PeerEffect.Send.class).stream()
                .map(PeerEffect.Send::message)
                .filter(BatchMessage.StoreResults.class::isInstance)
                .map(BatchMessage.StoreResults.class::cast)
                .findFirst()
                .orElseThrow();
        runner.accept(new PeerEvent.Received(
                other.self().identity(),
                new BatchMessage.ResultsStored(asked.ticket(), "job", asked.number() + 1, true, asked.value())));
        long read = site.read(runner, "job", 0, Duration.ofMillis(50));
        site.run(100);
        assertThat(site.answer(read).orElseThrow()).isInstanceOf(BatchAnswer.Unsure.class);
    }

    @Test
    void resultsAreListedOnceThePlatformIsReachableAgain() {
        site.site.platform().failWhere((_node, _call) -> true);
        site.started.forEach(run -> runner.accept(BatchSite.completed(run, 1)));
        site.run(3000);
        assertThat(site.listed("job")).isEmpty();
        site.site.platform().failWhere((_node, _call) -> false);
        site.run(1000);
        assertThat(site.listed("job")).hasSize(4).doesNotHaveDuplicates();
    }

    @Test
    void aRunnerWhoseRelayDoesNotAnswerRetriesItself() {
        site.site.connect((_from, _to) -> true);
        site.site.platform().failWhere((node, _call) -> node.equals("node-1"));
        site.started.forEach(run -> runner.accept(BatchSite.completed(run, 1)));
        site.run(500);
        site.site.platform().failWhere((_node, _call) -> false);
        site.run(2500);
        assertThat(site.listed("job")).hasSize(4).doesNotHaveDuplicates();
    }

    private static boolean writesResults(PlatformEffect call) {
        return call instanceof PlatformEffect.Write write
                && write.key().kind().equals(BatchObjects.results(new BatchJobId("job")));
    }
}
