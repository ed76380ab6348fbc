package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.site.TestNode;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A node that stood still went on with what it had known before: it gave items, and outputs to be scored, to endpoints
 * that had left meanwhile, until the platform told it so.
 */
final class OldRegistryTest {

    private static final Duration ANSWER_TIME = Duration.ofMillis(200);

    private final BatchSite site = new BatchSite();
    private TestNode node;

    @BeforeEach
    void startNode() {
        node = site.node("node-1");
        site.run(2000);
        site.site.platform().delayAnswers(_name -> ANSWER_TIME);
        site.engines(_run -> Optional.empty());
        site.submit(node, BatchSite.job("first", 2));
        site.run(1500);
    }

    @Test
    void aNodeThatStoodStillGivesNoItemToAnEngineThatLeftMeanwhile() {
        standStillWhile("engine-1");
        assertThat(site.started)
                .extracting(run -> run.endpoint().name().value())
                .doesNotContain("engine-1");
        assertThat(site.started).isNotEmpty();
    }

    @Test
    void aNodeThatStoodStillGoesOnByWhatItKnewOnceThePlatformIsKnownToBeAway() {
        node.freeze(true);
        site.site.platform().silenceWhere(_name -> true);
        site.run(4000);
        site.engines(run -> Optional.of(BatchSite.whole(run, 1)));
        site.started.clear();
        node.freeze(false);
        site.run(300);
        assertThat(site.started).isEmpty();
        node.accept(new BatchEvent.AttemptEnded(
                new BatchJobId("first"), "first-0", 1, new AttemptOutcome.Withheld("not sent"), ItemText.EMPTY));
        site.run(2000);
        assertThat(site.started).isNotEmpty();
    }

    /** Has the node stand still while an endpoint leaves, and an item come back to it right after. */
    private void standStillWhile(String leaving) {
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
