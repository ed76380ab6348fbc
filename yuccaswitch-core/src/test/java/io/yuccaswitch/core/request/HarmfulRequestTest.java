package io.yuccaswitch.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.quarantine.Loss;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that makes each endpoint terminate that runs it. Without the quarantine, it was sent to as
 * many endpoints as its pool allows attempts, each time that its caller repeated it: 16 attempts for 8 sends at two
 * nodes.
 */
final class HarmfulRequestTest {

    private static final int REPEATS = 8;
    private static final AttemptResult ENDPOINT_TERMINATED =
            new AttemptResult.MaybeRun("connection-lost", Optional.empty(), new Loss(Loss.Cause.ENDPOINT_ENDED, true));

    private final TestSite site = new TestSite(
            TestConfigurations.site(
                    TestConfigurations.pool(3, false, TestConfigurations.LIMITS, TestConfigurations.RETRY)),
            2,
            true);

    @Test
    void aRequestThatMakesEndpointsTerminateIsQuarantinedAtAllNodes() {
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            arrive(site.node("n" + repeat % 2), "harmful-" + repeat);
        }
        assertThat(sends()).isEqualTo(3);
        assertThat(site.node("n1").lastOutcome()).isInstanceOfSatisfying(Outcome.NotRun.class, refusal -> {
            assertThat(refusal.code()).isEqualTo("quarantined");
            assertThat(refusal.retryAfter()).isPresent();
        });
    }

    @Test
    void aRequestThatLostTwoEndpointsForAnotherReasonIsServedWhenRepeated() {
        TestSite.Node node = site.node("n0");
        arrive(node, "innocent-1");
        assertThat(node.lastOutcome()).isInstanceOf(Outcome.FailedAfterSend.class);
        site.advance(Duration.ofSeconds(6));
        node.arrive(site.request("innocent-2", true));
        node.answer(node.lastSend(), "done");
        assertThat(node.lastOutcome()).isInstanceOf(Outcome.Answered.class);
        site.advance(Duration.ofMillis(200));
        int before = sends();
        arrive(node, "innocent-3");
        assertThat(sends())
                .as("attempts after an answer cleared the crash evidence")
                .isEqualTo(before + 2);
    }

    /** Sends a request and terminates each endpoint that receives it. */
    private void arrive(TestSite.Node node, String id) {
        int before = node.sends.size();
        node.arrive(site.request(id, true));
        while (node.sends.size() > before) {
            before = node.sends.size();
            node.end(node.lastSend(), ENDPOINT_TERMINATED);
            site.advance(Duration.ofMillis(200));
        }
        site.advance(Duration.ofSeconds(3));
        site.deliverAll();
        site.answerPlatformCalls();
    }

    private int sends() {
        return site.nodes.values().stream().mapToInt(node -> node.sends.size()).sum();
    }
}
