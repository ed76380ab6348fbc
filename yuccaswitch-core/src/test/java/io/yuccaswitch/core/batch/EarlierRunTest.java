package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against taking the end of an attempt of an earlier run of a job for the end of an attempt of a later run. */
final class EarlierRunTest {

    private static final String JOB = "job";

    private final BatchSite site = new BatchSite();
    private final TestNode node = site.node("node-1");

    @Test
    void theEndOfAnAttemptOfAnEarlierRunDoesNotContinueTheTextOfALaterRun() {
        site.engines(_run -> Optional.empty());
        runTwice(BatchSite.job(JOB, 1));
        assertThat(site.started).hasSize(3);
        BatchEffect.Run earlier = site.started.get(0);
        BatchEffect.Run later = site.started.get(2);
        node.accept(BatchSite.ended(
                earlier,
                new AttemptOutcome.Interrupted("reset", false, new Loss(Loss.Cause.UNUSABLE, false)),
                new ItemText(5, List.of(Bytes.ofUtf8("e4"), Bytes.ofUtf8("e5")), List.of(1L))));
        site.run(1000);
        assertThat(site.started).as("the attempt of the later run continues").hasSize(3);
        node.accept(BatchSite.completed(later, 1));
        site.run(1000);
        assertThat(site.results(JOB))
                .singleElement()
                .matches(result -> result.output().toUtf8().equals("e1\ne2\ne3"));
    }

    @Test
    void theScoreOfAnOutputOfAnEarlierRunIsNotListedForTheOutputOfALaterRun() {
        site.scorers(_score -> Optional.empty());
        runTwice(BatchSite.scoredJob(JOB, 1));
        BatchEffect.Score earlier = site.scored.get(0);
        BatchEffect.Score later = site.scored.get(site.scored.size() - 1);
        node.accept(scored(earlier, "earlier"));
        site.run(1000);
        assertThat(site.listed(JOB)).isEmpty();
        node.accept(scored(later, "later"));
        site.run(1000);
        assertThat(site.results(JOB)).singleElement().matches(result -> result.score()
                .equals(Optional.of("later")));
    }

    /** Runs a job at a node that another one then takes it over from, and again after the other one has failed. */
    private void runTwice(BatchJob job) {
        TestNode other = site.node("node-2");
        site.run(100);
        site.submit(node, job);
        site.run(500);
        site.site.markGone("node-1");
        site.run(2000);
        site.site.markBack("node-1");
        site.kill(other);
        site.run(2000);
    }

    private static BatchEvent.ScoringEnded scored(BatchEffect.Score score, String value) {
        return new BatchEvent.ScoringEnded(
                score.id(), score.item(), score.attempt(), new ScoringOutcome.Scored(value), OptionalInt.empty());
    }
}
