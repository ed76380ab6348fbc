package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.site.TestNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the scoring of outputs with a simulated platform, engines and scoring endpoints. */
final class ScoringSystemTest {

    private final BatchSite site = new BatchSite();

    @Test
    void aResultIsListedOnlyWithTheScoreOfItsOwnRequest() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.scoredJob("job", 6));
        site.run(2000);
        assertThat(site.results("job")).hasSize(6).allSatisfy(result -> assertThat(result.score())
                .contains("score-s-" + result.item()));
    }

    @Test
    void anItemWithoutScoringRequestIsListedWithoutScore() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.job("job", 2));
        site.run(2000);
        assertThat(site.scored).isEmpty();
        assertThat(site.results("job")).hasSize(2).allSatisfy(result -> assertThat(result.score())
                .isEmpty());
    }

    @Test
    void noScoreIsRequestedBeforeTheOutputIsComplete() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.scoredJob("job", 4));
        site.run(2000);
        assertThat(site.started).isNotEmpty();
        assertThat(site.scored).isEmpty();
    }

    @Test
    void aRequestThatWasRefusedOrWhoseAnswerWasLostIsRetried() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.scorers(score -> Optional.of(
                switch (score.attempt()) {
                    case 1 -> new ScoringOutcome.Refused("full");
                    case 2 -> new ScoringOutcome.Interrupted("reset");
                    default -> new ScoringOutcome.Scored("late");
                }));
        site.submit(node, BatchSite.scoredJob("job", 2));
        site.run(2000);
        assertThat(site.results("job")).hasSize(2).allSatisfy(result -> assertThat(result.score())
                .contains("late"));
    }

    @Test
    void anAttemptAtASilentEndpointIsHedgedAfterHalfOfTheLatencyTarget() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.scorers(
                score -> score.attempt() == 1 ? Optional.empty() : Optional.of(new ScoringOutcome.Scored("second")));
        site.submit(node, BatchSite.scoredJob("job", 1));
        site.run(1200);
        assertThat(site.results("job")).hasSize(1);
        assertThat(site.scored).hasSize(2);
        assertThat(site.scored.get(0).endpoint().name())
                .isNotEqualTo(site.scored.get(1).endpoint().name());
        assertThat(site.cancelledScorings)
                .as("the attempt that is no longer needed is cancelled")
                .extracting(BatchEffect.CancelScoring::attempt)
                .containsExactly(1);
    }

    @Test
    void anItemIsAbandonedOnceItsScoringFailsAsOftenAsTheRouteAllows() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.scorers(score -> Optional.of(
                score.item().equals("job-0") ? new ScoringOutcome.Failed() : new ScoringOutcome.Scored("ok")));
        site.submit(node, BatchSite.scoredJob("job", 2));
        site.run(1500);
        assertThat(site.results("job")).hasSize(2).anySatisfy(result -> {
            assertThat(result.item()).isEqualTo("job-0");
            assertThat(result.completed()).isFalse();
            assertThat(result.score()).isEmpty();
        });
        assertThat(site.scored.stream().filter(score -> score.item().equals("job-0")))
                .hasSize(BatchSite.MAXIMUM_SCORING_ATTEMPTS);
    }

    @Test
    void aRefusalDoesNotCountAsAFailure() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.scorers(score -> Optional.of(
                score.attempt() <= 2 * BatchSite.MAXIMUM_SCORING_ATTEMPTS
                        ? new ScoringOutcome.Refused("full")
                        : new ScoringOutcome.Scored("ok")));
        site.submit(node, BatchSite.scoredJob("job", 1));
        site.run(3000);
        assertThat(site.results("job")).hasSize(1).allSatisfy(result -> assertThat(result.completed())
                .isTrue());
    }

    @Test
    void requestsToAServiceThatRefusesAllOfThemBackOff() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.scorers(_score -> Optional.of(new ScoringOutcome.Refused("full")));
        site.submit(node, BatchSite.scoredJob("job", 1));
        site.run(4000);
        assertThat(site.scored).as("about three per second after the first few").hasSizeBetween(10, 25);
    }

    @Test
    void theEndOfAJobCancelsItsScoringAndStartsNoFurtherAttempts() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.scorers(_score -> Optional.empty());
        site.submit(node, BatchSite.scoredJob("job", 2));
        site.run(300);
        int before = site.scored.size();
        site.end(node, "job");
        site.run(3000);
        assertThat(before).isEqualTo(2);
        assertThat(site.scored).hasSize(before);
        assertThat(site.cancelledScorings).hasSize(2);
    }

    @Test
    void aJobThatIsTakenOverIsScoredAgainAndListedOnce() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.scorers(_score -> Optional.empty());
        site.submit(first, BatchSite.scoredJob("job", 2));
        site.run(300);
        site.kill(first);
        site.scorers(score ->
                Optional.of(new ScoringOutcome.Scored("score-" + score.request().id())));
        site.run(8000);
        assertThat(second.name()).isEqualTo("node-2");
        assertThat(site.listed("job")).containsExactlyInAnyOrder("job-0", "job-1");
        assertThat(site.results("job"))
                .allSatisfy(result -> assertThat(result.score()).contains("score-s-" + result.item()));
    }

    @Test
    void aBurstLeavesHalfOfTheSlotsToPlainRequests() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.scorers(_score -> Optional.empty());
        site.submit(node, BatchSite.scoredJob("job", 20));
        site.run(300);
        Map<String, Integer> held = new HashMap<>();
        site.scored.forEach(score -> held.merge(score.endpoint().name().value(), 1, Integer::sum));
        assertThat(held).hasSize(3);
        assertThat(held.values()).as("four slots each").containsOnly(2);
    }

    @Test
    void theItemsOfANearlyCompleteGroupAreScoredFirst() {
        TestNode node = site.node("node-1");
        site.run(100);
        site.scorers(score ->
                score.item().equals("job-1") ? Optional.of(new ScoringOutcome.Scored("early")) : Optional.empty());
        AtomicBoolean open = new AtomicBoolean();
        site.engines(run -> Optional.of(
                open.get() || run.item().id().equals("job-1")
                        ? BatchSite.completed(run, 1)
                        : BatchSite.ended(run, new AttemptOutcome.Interrupted("reset", false), ItemText.EMPTY)));
        site.submit(node, BatchSite.scoredJob("job", 8));
        site.run(300);
        open.set(true);
        site.run(700);
        assertThat(site.scored.stream().map(BatchEffect.Score::item).limit(2))
                .as("the rest of the first group is scored before six items of groups without a score")
                .containsExactly("job-1", "job-0");
        assertThat(site.scored).hasSizeGreaterThan(6);
    }

    /** Guards against items that are given up although their route may be added again before the deadline. */
    @Test
    void anItemWithoutAScoringRouteIsAbandonedAtTheDeadlineOfItsJob() {
        TestNode node = site.node("node-1");
        site.routeScoring(false, 2);
        site.run(1000);
        site.submit(node, BatchSite.scoredJob("job", 1));
        site.run(39_000);
        assertThat(site.results("job")).isEmpty();
        site.run(2000);
        assertThat(site.results("job")).hasSize(1).allSatisfy(result -> assertThat(result.completed())
                .isFalse());
    }

    /** The jobs have 40 s. */
    @ParameterizedTest
    @CsvSource({"1500,3000", "38000,1500"})
    void aScoringRouteThatIsAddedAgainIsUsed(int missingMillis, int scoredWithinMillis) {
        TestNode node = site.node("node-1");
        site.routeScoring(false, 2);
        site.run(1000);
        site.submit(node, BatchSite.scoredJob("job", 1));
        site.run(missingMillis);
        site.routeScoring(true, 3);
        site.run(scoredWithinMillis);
        assertThat(site.results("job")).hasSize(1).allSatisfy(result -> assertThat(result.completed())
                .isTrue());
    }
}
