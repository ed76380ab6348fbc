package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.site.TestNode;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against an item, or a scoring request, that ends each engine that runs it and is restarted at the next engine
 * for as long as its job is open: 52 engines ended in 10 s when each start takes a fifth of a second.
 */
final class HarmfulItemTest {

    private static final Loss ENDED = new Loss(Loss.Cause.ENDPOINT_ENDED, true);
    private static final String HARMFUL = "job-0";

    private final BatchSite site = new BatchSite();
    private long incarnations = 10;

    @Test
    void anItemThatEndsEnginesIsWithheldFromFurtherEnginesAndOtherItemsComplete() {
        site.engines(this::run);
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.job("job", 4));
        site.run(10_000);
        assertThat(site.runs.get(HARMFUL)).isEqualTo(3);
        assertThat(site.listed("job")).hasSize(3);
        site.run(35_000);
        assertThat(site.runs.get(HARMFUL))
                .as("one more attempt after it was withheld for a while")
                .isEqualTo(4);
        assertThat(site.results("job"))
                .filteredOn(result -> result.item().equals(HARMFUL))
                .singleElement()
                .matches(result -> !result.completed());
    }

    @Test
    void aNodeThatTakesOverAJobHasTheEvidenceAgainstItsItems() {
        site.engines(this::run);
        TestNode first = site.node("node-1");
        site.node("node-2");
        site.run(100);
        site.submit(first, BatchSite.job("job", 4));
        site.run(2000);
        assertThat(site.runs.get(HARMFUL)).isEqualTo(3);
        site.kill(first);
        site.run(8000);
        assertThat(site.runs.get(HARMFUL)).isEqualTo(3);
    }

    @Test
    void anItemAtEnginesThatEndedForAnotherReasonCompletes() {
        site.engines(run -> run.item().id().equals(HARMFUL) && run.attempt() < 3
                ? restartEngine(run)
                : Optional.of(BatchSite.completed(run, 1)));
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.job("job", 4));
        site.run(8000);
        assertThat(site.listed("job")).hasSize(4);
    }

    @Test
    void aScoringRequestThatEndsEndpointsIsWithheldFromFurtherEndpoints() {
        String harmful = "s-" + HARMFUL;
        site.scorers(score -> {
            if (!score.request().id().equals(harmful)) {
                return Optional.of(new ScoringOutcome.Scored("score"));
            }
            site.registerScorer(score.endpoint().name().value(), ++incarnations);
            return Optional.of(new ScoringOutcome.Interrupted("ended", ENDED));
        });
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.scoredJob("job", 4));
        site.run(10_000);
        assertThat(site.scored)
                .filteredOn(score -> score.request().id().equals(harmful))
                .hasSize(3);
        assertThat(site.listed("job")).hasSize(3);
    }

    private Optional<BatchEvent.AttemptEnded> run(BatchEffect.Run run) {
        return run.item().id().equals(HARMFUL) ? restartEngine(run) : Optional.of(BatchSite.completed(run, 1));
    }

    /** Ends the engine of a run, which restarts under the same name at once. */
    private Optional<BatchEvent.AttemptEnded> restartEngine(BatchEffect.Run run) {
        site.registerEngine(run.endpoint().name().value(), 1, ++incarnations);
        return Optional.of(BatchSite.ended(run, new AttemptOutcome.Interrupted("ended", false, ENDED), ItemText.EMPTY));
    }
}
