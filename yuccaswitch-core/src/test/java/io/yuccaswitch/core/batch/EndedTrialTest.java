package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.site.TestNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against engines that are never used again after they refused an item: the next item is a trial, and no other
 * one is sent until it has ended, whatever ends it.
 */
final class EndedTrialTest {

    private static final String EARLIER_JOB = "earlier";

    /** Two of the items belong to the same group, whose items run at the same engine. */
    private static final int ITEMS = 4;

    private final BatchSite site = new BatchSite();
    private final TestNode node = site.node("node-1");

    /** How an attempt that waits at an engine ends. */
    private enum Ending {
        /** The trainer ends the job. */
        JOB_ENDED,
        /** Another node runs the job. */
        TAKEN_OVER,
        /** Another node has listed a result of the item. */
        LISTED,
        /** The job's deadline passes. */
        DEADLINE,
        /** The job's route is removed. */
        ROUTE_REMOVED,
        /** The engine restarts. */
        ENGINE_RESTARTED,
        /** The engine disappears, and returns. */
        ENGINE_GONE
    }

    @ParameterizedTest
    @EnumSource(Ending.class)
    void enginesThatRefusedAnItemRunTheNextJobsHoweverTheTrialEnded(Ending ending) {
        site.node("node-2");
        Set<String> refused = new HashSet<>();
        site.engines(run -> refused.add(run.item().id()) ? Optional.of(refusal(run)) : Optional.empty());
        site.addRoute("/added/", 2);
        site.run(300);
        site.submit(node, BatchSite.job(EARLIER_JOB, ITEMS, "/added/x", 2));
        site.run(1500);
        assertThat(site.started)
                .as("each item was refused, and one is tried at each engine")
                .hasSize(ITEMS + 2);
        assertThat(site.started.subList(ITEMS, ITEMS + 2))
                .extracting(run -> run.endpoint().name().value())
                .containsExactlyInAnyOrder("engine-1", "engine-2");
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.runTimes(_run -> Duration.ofMillis(200));
        end(ending);
        for (String job : List.of("step", "next-step")) {
            site.started.clear();
            site.submit(node, BatchSite.job(job, 16));
            site.run(3000);
            assertThat(site.results(job)).hasSize(16).allMatch(BatchResult::completed);
            assertThat(site.started)
                    .filteredOn(run -> run.id().equals(new BatchJobId(job)))
                    .extracting(run -> run.endpoint().name().value())
                    .contains("engine-1", "engine-2");
        }
    }

    private void end(Ending ending) {
        switch (ending) {
            case JOB_ENDED -> site.end(node, EARLIER_JOB);
            case TAKEN_OVER -> {
                site.site.markGone("node-1");
                site.run(1500);
                site.site.markBack("node-1");
            }
            case LISTED -> {
                site.list(
                        EARLIER_JOB,
                        0,
                        site.started.stream()
                                .limit(ITEMS)
                                .map(run -> BatchResult.abandoned(run.item().id()))
                                .toList());
                // The node reads the other node's results when it lists one of its own.
                node.accept(BatchSite.completed(site.started.get(ITEMS), 1));
            }
            case DEADLINE -> site.run(41_000);
            case ROUTE_REMOVED -> site.removeRoute("/added/", 3);
            case ENGINE_RESTARTED, ENGINE_GONE ->
                List.of("engine-1", "engine-2").forEach(engine -> restart(engine, ending));
        }
        site.run(1000);
    }

    private void restart(String engine, Ending ending) {
        if (ending == Ending.ENGINE_GONE) {
            site.site.platform().remove(EndpointRegistrySystem.KIND, engine);
            site.run(500);
        }
        site.registerEngine(engine, 1, 2);
        for (BatchEffect.Run run : List.copyOf(site.started)) {
            node.accept(BatchSite.ended(run, new AttemptOutcome.Withheld("cancelled"), ItemText.EMPTY));
        }
    }

    private static BatchEvent.AttemptEnded refusal(BatchEffect.Run run) {
        return BatchSite.ended(run, new AttemptOutcome.Refused("full"), ItemText.EMPTY);
    }
}
