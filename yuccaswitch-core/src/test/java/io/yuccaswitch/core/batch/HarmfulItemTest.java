package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.quarantine.QuarantineEffect;
import io.yuccaswitch.core.site.TestNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against an item, or a scoring request, that ends each engine that runs it and is restarted at the next engine
 * at once for as long as its job is open: 52 engines ended in 10 s when each start takes a fifth of a second.
 */
final class HarmfulItemTest {

    private static final Loss ENDED = new Loss(Loss.Cause.ENDPOINT_ENDED, true);
    private static final String HARMFUL = "job-0";

    /** The maximum number of starts in any 10 s: five while the delay grows, and then one in 2 s. */
    private static final int STARTS_IN_TEN_SECONDS = 9;

    /** The starts after which the delay between two of them has reached its maximum. */
    private static final int STARTS_UNTIL_MAXIMUM_DELAY = 5;

    private static final long MAXIMUM_DELAY_MILLIS = 2000;

    private final BatchSite site = new BatchSite();
    private final List<Long> startedAt = new ArrayList<>();
    private long incarnations = 10;

    @Test
    void anItemThatEndsEnginesIsRestartedAtABoundedRateAndOtherItemsComplete() {
        site.engines(this::run);
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.job("job", 4));
        site.run(2000);
        assertThat(site.listed("job")).hasSize(3);
        site.run(43_000);
        assertThat(site.runs.get(HARMFUL)).isEqualTo(startedAt.size());
        assertBoundedRate(startedAt);
        assertThat(site.results("job"))
                .filteredOn(result -> result.item().equals(HARMFUL))
                .singleElement()
                .matches(result -> !result.completed());
        int atTheEnd = startedAt.size();
        site.run(10_000);
        assertThat(startedAt).as("starts after the job was over").hasSize(atTheEnd);
    }

    @Test
    void anItemThatEndsEnginesIsRestartedAtABoundedRateByTheNodeThatTakesOverItsJob() {
        site.engines(this::run);
        TestNode first = site.node("node-1");
        site.node("node-2");
        site.run(100);
        site.submit(first, BatchSite.job("job", 4));
        site.run(2000);
        assertThat(site.listed("job")).hasSize(3);
        List<Long> before = List.copyOf(startedAt);
        assertBoundedRate(before);
        site.kill(first);
        site.run(20_000);
        assertThat(startedAt.size()).isGreaterThan(before.size());
        assertBoundedRate(startedAt.subList(before.size(), startedAt.size()));
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
    void itemsThatEndEnginesDoNotKeepTheItemsBehindThemFromStarting() {
        Set<String> harmful =
                Set.of("job-0", "job-1", "job-2", "job-3", "job-4", "job-5", "job-6", "job-7", "job-8", "job-9");
        site.engines(run ->
                harmful.contains(run.item().id()) ? restartEngine(run) : Optional.of(BatchSite.completed(run, 1)));
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.job("job", 14));
        site.run(5000);
        assertThat(site.listed("job")).containsExactlyInAnyOrder("job-10", "job-11", "job-12", "job-13");
    }

    @Test
    void anItemThatEndsEnginesIsNotSuspectAndItsEnginesAreAnnounced() {
        site.engines(this::run);
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.submit(first, BatchSite.job("job", 4));
        site.run(8000);
        for (TestNode node : List.of(first, second)) {
            assertThat(node.take(QuarantineEffect.Changed.class))
                    .allMatch(changed -> changed.view().isEmpty())
                    .anyMatch(changed -> !changed.view().ended().isEmpty());
        }
    }

    @Test
    void aScoringRequestThatEndsEndpointsIsSentAgainAtABoundedRateAndOtherItemsComplete() {
        String harmful = "s-" + HARMFUL;
        site.scorers(score -> {
            if (!score.request().id().equals(harmful)) {
                return Optional.of(new ScoringOutcome.Scored("score"));
            }
            startedAt.add(site.epochMillis());
            site.registerScorer(score.endpoint().name().value(), ++incarnations);
            return Optional.of(new ScoringOutcome.Interrupted("ended", ENDED));
        });
        TestNode node = site.node("node-1");
        site.run(100);
        site.submit(node, BatchSite.scoredJob("job", 4));
        site.run(2000);
        assertThat(site.listed("job")).hasSize(3);
        site.run(30_000);
        assertThat(site.scored)
                .filteredOn(score -> score.request().id().equals(harmful))
                .hasSameSizeAs(startedAt);
        assertBoundedRate(startedAt);
    }

    /** Checks the starts that one runner made. */
    private static void assertBoundedRate(List<Long> starts) {
        for (int i = 0; i < starts.size(); i++) {
            long since = starts.get(i);
            assertThat(starts.stream().filter(at -> at >= since && at < since + 10_000))
                    .as("starts in 10 s from %s ms among %s", since, starts)
                    .hasSizeLessThanOrEqualTo(STARTS_IN_TEN_SECONDS);
            if (i >= STARTS_UNTIL_MAXIMUM_DELAY) {
                assertThat(since - starts.get(i - 1))
                        .as("delay before start %s among %s", i, starts)
                        .isGreaterThanOrEqualTo(MAXIMUM_DELAY_MILLIS);
            }
        }
    }

    private Optional<BatchEvent.AttemptEnded> run(BatchEffect.Run run) {
        if (!run.item().id().equals(HARMFUL)) {
            return Optional.of(BatchSite.completed(run, 1));
        }
        startedAt.add(site.epochMillis());
        return restartEngine(run);
    }

    /** Ends the engine of a run, which restarts under the same name at once. */
    private Optional<BatchEvent.AttemptEnded> restartEngine(BatchEffect.Run run) {
        site.registerEngine(run.endpoint().name().value(), 1, ++incarnations);
        return Optional.of(BatchSite.ended(run, new AttemptOutcome.Interrupted("ended", false, ENDED), ItemText.EMPTY));
    }
}
