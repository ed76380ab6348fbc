package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.site.TestNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against a sound item that is withheld from engines because several of them crashed while they ran it: items
 * are accepted work, so an item is placed again once engines have room.
 */
final class CrashBurstTest {

    private static final Loss ENDED = new Loss(Loss.Cause.ENDPOINT_ENDED, true);
    private static final String UNLUCKY = "job-0";
    private static final int CRASHES = 6;

    /** The time within which an item is placed again. A step must not have an item at no engine for 5 s. */
    private static final long PLACED_AGAIN_MILLIS = 4000;

    private final BatchSite site = new BatchSite();
    private final List<Long> startedAt = new ArrayList<>();
    private long incarnations = 10;
    private int crashesLeft = CRASHES;

    @Test
    void anItemUnderWhichSixEnginesCrashedIsPlacedAgainWithinSecondsAndCompletes() {
        site.engines(this::run);
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.job("job", 4));
        site.run(20_000);
        assertPlacedAgain(CRASHES + 1);
        assertAllComplete();
    }

    @Test
    void anItemWhoseCrashesWereSeenByThreeNodesCompletes() {
        site.engines(this::run);
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.node("node-3");
        site.run(100);
        crashesLeft = 2;
        site.engines(run -> crashesLeft > 0 ? run(run) : hang(run));
        site.submit(first, BatchSite.job("job", 4));
        site.run(1000);
        assertThat(startedAt).hasSize(3);
        crashesLeft = 2;
        site.kill(first);
        site.run(9000);
        assertThat(startedAt).as("started by the second runner").hasSizeGreaterThanOrEqualTo(5);
        crashesLeft = 2;
        site.kill(second);
        site.engines(this::run);
        site.run(15_000);
        assertAllComplete();
    }

    @Test
    void anItemWhoseEnginesCrashedBeforeATakeOverCompletesAtTheNextNode() {
        site.engines(run -> crashesLeft > 0 ? run(run) : hang(run));
        TestNode first = site.node("node-1");
        site.node("node-2");
        site.run(100);
        site.submit(first, BatchSite.job("job", 4));
        site.run(15_000);
        assertPlacedAgain(CRASHES + 1);
        site.kill(first);
        site.engines(this::run);
        site.run(10_000);
        assertAllComplete();
    }

    @Test
    void aScoringRequestUnderWhichSixEndpointsCrashedIsSentAgainWithinSecondsAndItsItemCompletes() {
        site.scorers(score -> {
            if (!score.item().equals(UNLUCKY)) {
                return Optional.of(new ScoringOutcome.Scored("score"));
            }
            startedAt.add(site.epochMillis());
            if (crashesLeft == 0) {
                return Optional.of(new ScoringOutcome.Scored("score"));
            }
            crashesLeft--;
            site.registerScorer(score.endpoint().name().value(), ++incarnations);
            return Optional.of(new ScoringOutcome.Interrupted("ended", ENDED));
        });
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.scoredJob("job", 4));
        site.run(20_000);
        assertPlacedAgain(CRASHES + 1);
        assertAllComplete();
    }

    private void assertPlacedAgain(int starts) {
        assertThat(startedAt).as("starts at %s ms", startedAt).hasSize(starts);
        for (int i = 1; i < startedAt.size(); i++) {
            assertThat(startedAt.get(i) - startedAt.get(i - 1)).isLessThan(PLACED_AGAIN_MILLIS);
        }
    }

    private void assertAllComplete() {
        assertThat(site.results("job")).hasSize(4).allMatch(BatchResult::completed);
    }

    /** Runs an item. The engine of the unlucky item crashes while crashes are left, and restarts at once. */
    private Optional<BatchEvent.AttemptEnded> run(BatchEffect.Run run) {
        if (!run.item().id().equals(UNLUCKY)) {
            return Optional.of(BatchSite.completed(run, 1));
        }
        startedAt.add(site.epochMillis());
        if (crashesLeft == 0) {
            return Optional.of(BatchSite.completed(run, 1));
        }
        crashesLeft--;
        site.registerEngine(run.endpoint().name().value(), 1, ++incarnations);
        return Optional.of(BatchSite.ended(run, new AttemptOutcome.Interrupted("ended", false, ENDED), ItemText.EMPTY));
    }

    /** Starts an item that stays in progress if it is the unlucky one. */
    private Optional<BatchEvent.AttemptEnded> hang(BatchEffect.Run run) {
        if (!run.item().id().equals(UNLUCKY)) {
            return Optional.of(BatchSite.completed(run, 1));
        }
        startedAt.add(site.epochMillis());
        return Optional.empty();
    }
}
