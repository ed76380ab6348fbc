package io.yuccaswitch.integration;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.integration.site.Pause;
import io.yuccaswitch.integration.site.Promises;
import io.yuccaswitch.integration.site.Site;
import io.yuccaswitch.integration.site.Site.Node;
import io.yuccaswitch.integration.site.Site.StandIn;
import io.yuccaswitch.integration.site.SiteShape;
import io.yuccaswitch.integration.site.Training;
import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.Observation.SampleReceived;
import io.yuccaswitch.testkit.check.Observations;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

/** A trainer on a site of real processes whose nodes, engines and platform fail one after the other. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class SampleFaultsIT {

    private static final Duration STEPS_TIMEOUT = Duration.ofSeconds(90);

    private static Site site;

    private static Training training;

    @BeforeAll
    static void start() {
        site = Site.start(Site.newFolder("sample-faults"), SiteShape.small());
        training = Training.start(site);
        awaitStepsAfter(-1, 1);
    }

    @AfterAll
    static void stop() {
        if (site != null) {
            site.close();
        }
    }

    @Test
    @Order(1)
    void stepsContinueWhenANodeIsKilledDuringAStep() {
        for (Node node : site.nodes()) {
            long step = lastStep();
            node.process().kill();
            awaitStepsAfter(step, 1);
            node.restart();
        }
    }

    @Test
    @Order(2)
    void stepsContinueDuringARollingRestartOfAllNodes() {
        long step = lastStep();
        for (Node node : site.nodes()) {
            node.process().terminate();
            assertThat(node.process().awaitEnd(Duration.ofSeconds(60))).isZero();
            node.restart();
        }
        awaitStepsAfter(step, 2);
    }

    @Test
    @Order(3)
    void stepsContinueWhileThePlatformIsUnreachable() {
        site.platform().control("outage?mode=silent");
        try {
            awaitStepsAfter(lastStep(), 3);
        } finally {
            site.platform().control("outage?mode=none");
        }
    }

    @Test
    @Order(4)
    void stepsContinueWhenAnEngineIsKilledAndTwoOthersFailTheirSwaps() {
        StandIn killed = site.engines().get(0);
        site.engines().get(1).fault("swap-claims", 2);
        site.engines().get(2).fault("swap-failures", 2);
        killed.process().kill();
        awaitStepsAfter(lastStep(), 2);
        killed.restart();
        awaitStepsAfter(lastStep(), 1);
    }

    @Test
    @Order(5)
    void everySampleWasDeliveredOnceWithinTheStalenessBoundAndCorrectlyLabelled() {
        Pause.of(Duration.ofSeconds(1));
        assertThat(training.finish(site)).isZero();

        assertThat(new Observations(site.observations()).of(SampleReceived.class))
                .isNotEmpty();
        Promises.assertHold(site, new Observation[0]);
    }

    private static void awaitStepsAfter(long step, int additionalSteps) {
        Awaitility.await("step " + (step + additionalSteps) + " to be complete")
                .atMost(STEPS_TIMEOUT)
                .pollInterval(Duration.ofMillis(200))
                .failFast("the trainer process ended", () -> !training.process().alive())
                .until(() -> lastStep() >= step + additionalSteps);
    }

    private static long lastStep() {
        return new Observations(site.observations())
                .of(SampleReceived.class).stream()
                        .mapToLong(sample -> sample.slot().step())
                        .max()
                        .orElse(-1);
    }
}
