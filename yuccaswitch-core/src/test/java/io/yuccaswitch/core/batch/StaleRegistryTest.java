package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.site.TestNode;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a resumed node that uses its stale registry: after a suspension it sent items and scoring requests to
 * endpoints that had left in the meantime, until the platform reported the change.
 */
final class StaleRegistryTest {

    private static final Duration PLATFORM_LATENCY = Duration.ofMillis(200);

    private final BatchSite site = new BatchSite();
    private TestNode node;

    @BeforeEach
    void startNode() {
        node = site.node("node-1");
        site.run(2000);
        site.site.platform().delayAnswers(_name -> PLATFORM_LATENCY);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("first", 2));
        site.run(1500);
    }

    @Test
    void aResumedNodeSendsNoItemToAnEngineThatLeftDuringTheSuspension() {
        suspendWhileEndpointLeaves("engine-1");
        assertThat(site.started)
                .extracting(run -> run.endpoint().name().value())
                .doesNotContain("engine-1");
        assertThat(site.started).isNotEmpty();
    }

    @Test
    void aResumedNodeUsesItsStaleRegistryOnceThePlatformIsKnownToBeUnreachable() {
        node.freeze(true);
        site.site.platform().silenceWhere(_name -> true);
        site.run(4000);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.started.clear();
        node.freeze(false);
        site.run(300);
        assertThat(site.started).isEmpty();
        node.accept(new BatchEvent.AttemptEnded(
                new BatchJobId("first"), "first-0", 1, new AttemptOutcome.Withheld("not sent"), ItemText.EMPTY));
        site.run(2000);
        assertThat(site.started).isNotEmpty();
    }

    /** Suspends the node while an endpoint leaves, and has its items withheld right after it resumes. */
    private void suspendWhileEndpointLeaves(String leaving) {
        node.freeze(true);
        site.site.platform().silenceWhere(_name -> true);
        site.run(4000);
        site.site.platform().remove(EndpointRegistrySystem.KIND, leaving);
        site.site.platform().silenceWhere(_name -> false);
        site.started.clear();
        node.freeze(false);
        for (int item = 0; item < 2; item++) {
            node.accept(new BatchEvent.AttemptEnded(
                    new BatchJobId("first"),
                    "first-" + item,
                    1,
                    new AttemptOutcome.Withheld("not sent"),
                    ItemText.EMPTY));
        }
        site.run(1500);
    }
}
