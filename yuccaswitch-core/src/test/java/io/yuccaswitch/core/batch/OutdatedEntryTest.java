package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.site.TestNode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class OutdatedEntryTest {

    private static final String JOB = "job";
    private static final int ITEMS = 4;

    private final BatchSite site = new BatchSite();
    private final TestNode first = site.node("node-1");
    private final TestNode second = site.node("node-2");

    /** Guards against a job that stands still after a takeover until the index of its new runner is up to date. */
    @Test
    void aClaimedJobIsNotStoppedByTheEntryThatTheClaimReplaced() {
        site.engines(_run -> Optional.empty());
        site.run(100);
        site.submit(first, BatchSite.job(JOB, ITEMS));
        site.run(300);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.site.platform().failWhere((node, call) -> node.equals("node-2") && readsIndex(call));
        site.kill(first);
        site.run(4000);
        assertThat(choices(second, "batch-claim")).containsExactly("granted");
        assertThat(choices(second, "batch-job")).containsExactly("run here", "finished");
        assertThat(site.listed(JOB)).hasSize(ITEMS);
    }

    /** Guards against a claimed job that is not loaded again after a failure until the index is up to date. */
    @Test
    void aClaimedJobIsLoadedAgainAfterAFailureAlthoughTheIndexIsOutdated() {
        site.engines(_run -> Optional.empty());
        site.run(100);
        site.submit(first, BatchSite.job(JOB, ITEMS));
        site.run(300);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        int[] failures = {1};
        site.site
                .platform()
                .failWhere((node, call) ->
                        node.equals("node-2") && (readsIndex(call) || (readsJob(call) && failures[0]-- > 0)));
        site.kill(first);
        site.run(4000);
        assertThat(choices(second, "batch-claim")).containsExactly("granted");
        assertThat(site.listed(JOB)).hasSize(ITEMS);
    }

    /** Guards against two runners: a later entry still stops a job that this node has claimed. */
    @Test
    void aClaimedJobIsStoppedByALaterEntryOfAnotherRunner() {
        site.engines(_run -> Optional.empty());
        site.run(100);
        site.submit(first, BatchSite.job(JOB, ITEMS));
        site.run(300);
        site.kill(first);
        site.run(3000);
        assertThat(choices(second, "batch-job")).containsExactly("run here");
        BatchIndexEntry entry = site.site
                .platform()
                .find(BatchObjects.INDEX, JOB)
                .flatMap(object -> site.codec.readEntry(object.value()))
                .orElseThrow();
        site.node("node-3");
        site.site
                .platform()
                .put(
                        BatchObjects.INDEX,
                        JOB,
                        site.codec
                                .writeEntry(entry.withRunner(new NodeName("node-3")))
                                .toUtf8());
        site.run(1000);
        assertThat(choices(second, "batch-job")).containsExactly("run here", "stop here");
    }

    private static boolean readsIndex(PlatformEffect call) {
        return (call instanceof PlatformEffect.Watch watch && watch.kind().equals(BatchObjects.INDEX))
                || (call instanceof PlatformEffect.ListKind list && list.kind().equals(BatchObjects.INDEX));
    }

    private static boolean readsJob(PlatformEffect call) {
        return call instanceof PlatformEffect.Read read && read.key().equals(BatchObjects.job(new BatchJobId(JOB)));
    }

    private static List<String> choices(TestNode node, String kind) {
        return node.decisions().stream()
                .filter(decision ->
                        decision.kind().equals(kind) && decision.subject().equals(JOB))
                .map(decision -> decision.choice())
                .toList();
    }
}
