package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.site.TestNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against results at two positions of a job that starts while its listed results are being loaded. */
final class ResultsListedTwiceTest {

    private static final String JOB = "job";
    private static final int ITEMS = 8;
    private static final int LISTED_BEFORE = 4;

    /** The number of reads after which a restarted node runs its job: the index, the job, its results and its texts. */
    private static final int READS = 4;

    /** How long an item runs, which is longer than a job takes to load. */
    private static final int ITEM_MILLIS = 2000;

    /** How long a node without other work waits at most between two reads, in milliseconds. */
    private static final int WAIT_MILLIS = 60;

    @ParameterizedTest
    @ValueSource(ints = {0, 20, 100, 300})
    void aHandOverToARestartedRunnerListsNoItemTwice(int answerMillis) {
        assertNoItemIsListedTwice(
                answerMillis,
                (site, restarted, other) -> restarted.accept(new PeerEvent.Received(
                        other.self().identity(), new BatchMessage.HandedOver(JOB, site.encode(job()), true))));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 20, 100, 300})
    void aSubmissionToAnotherNodeWhileTheRunnerRestartsListsNoItemTwice(int answerMillis) {
        assertNoItemIsListedTwice(answerMillis, (site, _restarted, other) -> site.submit(other, job()));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 20, 100, 300})
    void aSubmissionToARestartedRunnerListsNoItemTwice(int answerMillis) {
        assertNoItemIsListedTwice(answerMillis, (site, restarted, _other) -> site.submit(restarted, job()));
    }

    /**
     * Starts the job once more at each moment after a restart of its runner, while the answers to the creation of
     * entries are lost and the platform answers the runner late.
     */
    private static void assertNoItemIsListedTwice(int answerMillis, Start start) {
        Map<Integer, List<String>> listed = new TreeMap<>();
        for (int moment = 0; moment <= READS * (answerMillis + WAIT_MILLIS); moment += 10) {
            BatchSite site = new BatchSite();
            TestNode runner = site.node("node-1");
            TestNode other = site.node("node-2");
            site.engines(
                    run -> isListedBefore(run.item()) ? Optional.of(BatchSite.completed(run, 1)) : Optional.empty());
            site.run(100);
            site.submit(runner, job());
            site.run(1000);
            assertThat(site.listed(JOB)).hasSize(LISTED_BEFORE);
            site.kill(runner);
            site.engines(_run -> Optional.empty());
            site.started.clear();
            site.site.platform().loseAnswersWhere((_node, call) -> createsEntry(call));
            site.site
                    .platform()
                    .delayAnswers(name -> name.equals("node-1") ? Duration.ofMillis(answerMillis) : Duration.ZERO);
            TestNode restarted = site.node("node-1");
            site.run(moment);
            start.again(site, restarted, other);
            site.run(ITEM_MILLIS);
            site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
            List.copyOf(site.started).forEach(run -> restarted.accept(BatchSite.completed(run, 1)));
            site.run(4000);
            assertThat(site.listed(JOB)).as("moment %d", moment).containsAll(ids());
            if (site.listed(JOB).size() > ITEMS) {
                listed.put(moment, site.listed(JOB));
            }
        }
        assertThat(listed)
                .as("moments in milliseconds after which items were listed twice")
                .isEmpty();
    }

    private static boolean createsEntry(PlatformEffect call) {
        return call instanceof PlatformEffect.Write write
                && write.key().kind().equals(BatchObjects.INDEX)
                && write.expectedVersion().isEmpty();
    }

    private static boolean isListedBefore(BatchItem item) {
        return ids().indexOf(item.id()) < LISTED_BEFORE;
    }

    private static BatchJob job() {
        return BatchSite.job(JOB, ITEMS);
    }

    private static List<String> ids() {
        return job().items().stream().map(BatchItem::id).toList();
    }

    /** Starts the job a second time. */
    private interface Start {
        void again(BatchSite site, TestNode restarted, TestNode other);
    }
}
