package io.yuccaswitch.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.LimitSettings;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.configuration.RetrySettings;
import io.yuccaswitch.core.endpoint.EndpointCondition;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RequestSystemTest {

    private static final AttemptResult CONNECT_FAILED = new AttemptResult.NotRun("connect-failed", false);
    private static final AttemptResult LOST = new AttemptResult.MaybeRun("connection-lost", Optional.empty());

    private final TestSite site = site(3, false, TestConfigurations.LIMITS, TestConfigurations.RETRY);
    private final TestSite.Node node = site.node("n0");

    private static TestSite site(int endpoints, boolean settles, LimitSettings limits, RetrySettings retry) {
        return new TestSite(TestConfigurations.site(TestConfigurations.pool(endpoints, settles, limits, retry)), 1);
    }

    private static RetrySettings retry(double budget, int attempts, Optional<Duration> hedgeAfter, int threshold) {
        return new RetrySettings(
                budget,
                attempts,
                Duration.ofMillis(10),
                Duration.ofMillis(100),
                hedgeAfter,
                threshold,
                Duration.ofSeconds(5),
                0.5);
    }

    private static Generation generation(String text, int tokens) {
        return new Generation(text, List.of(new Generation.Segment(7, tokens)), "");
    }

    private void afterBackoff() {
        site.advance(Duration.ofMillis(200));
    }

    @Test
    void anAnswerConcludesOnlyItsOwnRequest() {
        node.arrive(site.request(node.id("a"), false));
        node.arrive(site.request(node.id("b"), false));
        node.answer(node.sends.get(1), "answer of b");

        assertThat(node.conclusions).hasSize(1);
        assertThat(node.conclusions.get(0).id().value()).endsWith("b");
    }

    @Test
    void aNonIdempotentRequestIsNeverSentAgainAfterItMayHaveRun() {
        node.arrive(site.request(node.id("a"), false));
        node.end(node.lastSend(), LOST);
        afterBackoff();

        assertThat(node.sends).hasSize(1);
        assertThat(node.lastOutcome()).isInstanceOf(Outcome.FailedAfterSend.class);
    }

    @Test
    void aRequestThatDefinitelyDidNotRunIsRetriedAtAnotherEndpoint() {
        node.arrive(site.request(node.id("a"), false));
        node.end(node.lastSend(), CONNECT_FAILED);
        afterBackoff();

        assertThat(node.sends).hasSize(2);
        assertThat(node.sends.get(1).endpoint()).isNotEqualTo(node.sends.get(0).endpoint());
        node.answer(node.lastSend(), "done");
        assertThat(node.lastOutcome()).isInstanceOf(Outcome.Answered.class);
    }

    @Test
    void aRequestThatNoEndpointAcceptedIsRefusedAndMayBeRepeated() {
        Request request = site.request(node.id("a"), false);
        node.arrive(request);
        for (int attempt = 0; attempt < 3; attempt++) {
            node.end(node.lastSend(), CONNECT_FAILED);
            afterBackoff();
        }
        assertThat(node.lastOutcome())
                .isInstanceOfSatisfying(Outcome.NotRun.class, refusal -> assertThat(refusal.retryAfter())
                        .isPresent());

        node.arrive(request);
        assertThat(node.sends).hasSize(4);
    }

    @Test
    void aLateAnswerOfAnAbandonedAttemptIsDropped() {
        TestSite hedged = site(3, false, TestConfigurations.LIMITS, retry(1, 3, Optional.of(Duration.ofMillis(50)), 5));
        TestSite.Node hedging = hedged.node("n0");
        hedging.arrive(hedged.request("x", true));
        hedged.advance(Duration.ofMillis(60));
        assertThat(hedging.sends).hasSize(2);
        hedging.answer(hedging.sends.get(1), "second");
        hedging.answer(hedging.sends.get(0), "first");

        assertThat(hedging.conclusions).hasSize(1);
        assertThat(((Outcome.Answered) hedging.lastOutcome()).body().toUtf8()).isEqualTo("second");
        assertThat(hedging.cancels)
                .extracting(RequestEffect.CancelAttempt::attempt)
                .containsExactly(1);
    }

    @Test
    void aLateAnswerIsNotAttributedToANewerRequestWithTheSameId() {
        Request request = site.request("x", true, PriorityClass.NORMAL, Duration.ofSeconds(1));
        node.arrive(request);
        site.advance(Duration.ofSeconds(2));
        node.arrive(site.request("x", true));
        node.answer(node.sends.get(0), "late");

        assertThat(node.conclusions).hasSize(1);
        assertThat(node.lastOutcome()).isInstanceOf(Outcome.FailedAfterSend.class);
        node.answer(node.sends.get(1), "own");
        assertThat(((Outcome.Answered) node.lastOutcome()).body().toUtf8()).isEqualTo("own");
    }

    @Test
    void onlyIdempotentRequestsAreHedged() {
        TestSite hedged = site(3, false, TestConfigurations.LIMITS, retry(1, 3, Optional.of(Duration.ofMillis(50)), 5));
        hedged.node("n0").arrive(hedged.request(hedged.node("n0").id("a"), false));
        hedged.advance(Duration.ofSeconds(1));

        assertThat(hedged.node("n0").sends).hasSize(1);
    }

    @Test
    void aGenerationResumesAtAnotherEngineWithoutRepeatedOrMissingTokens() {
        Request base = site.request("x", true);
        Request streaming = new Request(
                base.id(),
                base.pool(),
                base.caller(),
                base.priority(),
                true,
                true,
                base.deadline(),
                base.method(),
                base.path(),
                base.contentType(),
                base.body(),
                base.model(),
                0,
                List.of(),
                0,
                0);
        node.arrive(streaming);
        node.tick(new RequestEvent.Progressed(streaming.id(), 1, generation("t0 t1 ", 2)));
        node.end(
                node.lastSend(),
                new AttemptResult.MaybeRun("connection-lost", Optional.of(generation("t0 t1 t2 ", 3))));
        afterBackoff();

        assertThat(node.lastSend().resumeFrom()).contains(generation("t0 t1 t2 ", 3));
        node.tick(new RequestEvent.Progressed(streaming.id(), 2, generation("t0 t1 t2 t3 ", 4)));
        assertThat(node.streams)
                .extracting(stream -> stream.generated().text())
                .containsExactly("t0 t1 ", "t0 t1 t2 ", "t0 t1 t2 t3 ");
        node.end(
                node.lastSend(),
                new AttemptResult.Complete(200, "", Bytes.EMPTY, Optional.of(generation("t0 other text", 9))));
        assertThat(node.lastOutcome()).isInstanceOf(Outcome.FailedAfterSend.class);
    }

    @Test
    void aRepeatedIdJoinsTheRequestInProgressAndLaterReceivesItsFirstAnswer() {
        Request request = site.request(node.id("a"), false);
        node.arrive(request);
        node.arrive(request);
        assertThat(node.sends).hasSize(1);
        node.answer(node.lastSend(), "first");
        node.arrive(request.withDeadline(site.now.plus(Duration.ofSeconds(9))));

        assertThat(node.sends).hasSize(1);
        assertThat(((Outcome.Answered) node.lastOutcome()).body().toUtf8()).isEqualTo("first");
    }

    @Test
    void anIdWhoseAnswerIsNoLongerRetainedIsNeverSentAgain() {
        String id = node.id("a");
        node.arrive(site.request(id, false));
        node.answer(node.lastSend(), "first");
        for (int minute = 0; minute < 30; minute++) {
            site.advance(Duration.ofMinutes(1));
            node.arrive(site.request(id, false));
            site.advance(ResolutionSystem.PHASE_TIMEOUT);
            assertThat(node.sends).hasSize(1);
        }
        assertThat(node.lastOutcome()).isInstanceOf(Outcome.Unknown.class);
    }

    @Test
    void anIdWithoutAWindowIsNeverSentAgain() {
        String id = node.identity + "/plain";
        node.arrive(site.request(id, false));
        node.answer(node.lastSend(), "first");
        site.advance(Duration.ofHours(3));
        node.arrive(site.request(id, false));
        site.advance(ResolutionSystem.PHASE_TIMEOUT);

        assertThat(node.sends).hasSize(1);
        assertThat(node.lastOutcome()).isInstanceOf(Outcome.Unknown.class);
    }

    @Test
    void anIdReusedForADifferentRequestIsRefused() {
        Request first = site.request(node.id("a"), false);
        node.arrive(first);
        node.answer(node.lastSend(), "first");
        Request other = new Request(
                first.id(),
                first.pool(),
                first.caller(),
                first.priority(),
                false,
                false,
                first.deadline(),
                "POST",
                "/other",
                first.contentType(),
                first.body(),
                Optional.empty(),
                0,
                List.of(),
                0,
                0);
        node.arrive(other);

        assertThat(node.lastOutcome())
                .isInstanceOfSatisfying(Outcome.NotRun.class, refusal -> assertThat(refusal.code())
                        .isEqualTo("request-id-reused"));
    }

    @Test
    void anAnswerAfterTheDeadlineIsRetainedForARepeatedId() {
        String id = node.id("a");
        node.arrive(site.request(id, false, PriorityClass.NORMAL, Duration.ofSeconds(1)));
        site.advance(Duration.ofSeconds(2));
        assertThat(node.lastOutcome()).isInstanceOf(Outcome.FailedAfterSend.class);
        node.answer(node.lastSend(), "late but true");
        node.arrive(site.request(id, false));

        assertThat(node.sends).hasSize(1);
        assertThat(((Outcome.Answered) node.lastOutcome()).body().toUtf8()).isEqualTo("late but true");
    }

    @Test
    void aCancellationStopsAnIdempotentRequestButNotANonIdempotentOne() {
        node.arrive(site.request("x", true));
        node.arrive(site.request(node.id("a"), false));
        node.tick(new RequestEvent.Cancelled(node.sends.get(0).id()));
        node.tick(new RequestEvent.Cancelled(node.sends.get(1).id()));

        assertThat(node.cancels).extracting(RequestEffect.CancelAttempt::id).containsExactly(new RequestId("x"));
        assertThat(node.conclusions).isEmpty();
    }

    @Test
    void aRefusalOfALeavingEndpointIsRetriedWithoutRetryBudget() {
        TestSite withoutBudget = site(3, false, TestConfigurations.LIMITS, retry(0, 3, Optional.empty(), 5));
        TestSite.Node router = withoutBudget.node("n0");
        for (int count = 0; count < 20; count++) {
            router.arrive(withoutBudget.request(router.id("a" + count), false));
            router.end(router.lastSend(), new AttemptResult.NotRun("leaving", true));
            router.answer(router.lastSend(), "done");
        }
        assertThat(router.conclusions).hasSize(20).allSatisfy(conclude -> assertThat(conclude.outcome())
                .isInstanceOf(Outcome.Answered.class));
    }

    @Test
    void aFullOutageIsNotAmplifiedBeyondTheRetryBudget() {
        int requests = 2000;
        for (int count = 0; count < requests; count++) {
            node.arrive(site.request("r" + count, true));
            failAll();
            site.advance(Duration.ofMillis(20));
            failAll();
        }
        assertThat((double) node.sends.size() / requests).isLessThan(1.2);
    }

    private void failAll() {
        for (RequestEffect.Send send :
                List.copyOf(node.sends.subList(Math.max(0, node.sends.size() - 4), node.sends.size()))) {
            node.end(send, CONNECT_FAILED);
        }
    }

    @Test
    void failingEndpointsAreEjectedDownToTheEjectionFloor() {
        TestSite ejecting = site(4, false, TestConfigurations.LIMITS, retry(1, 1, Optional.empty(), 1));
        TestSite.Node router = ejecting.node("n0");
        for (int count = 0; count < 200; count++) {
            router.arrive(ejecting.request("r" + count, true));
            router.end(router.lastSend(), LOST);
            ejecting.now = ejecting.now.plus(Duration.ofMillis(1));
        }
        List<RequestEffect.Send> last = router.sends.subList(100, 200);
        assertThat(last.stream().map(RequestEffect.Send::endpoint).distinct()).hasSize(2);
    }

    @Test
    void aFullQueueShedsBatchRequestsFirstAndKeepsUrgentOnes() {
        TestSite small = site(1, false, new LimitSettings(1, 1, 2, Duration.ofSeconds(60)), TestConfigurations.RETRY);
        TestSite.Node router = small.node("n0");
        router.arrive(small.request("running", true));
        router.arrive(small.request("batch", true, PriorityClass.BATCH, Duration.ofSeconds(20)));
        router.arrive(small.request("normal", true));
        router.arrive(small.request("urgent", true, PriorityClass.URGENT, Duration.ofSeconds(20)));
        router.arrive(small.request("batch2", true, PriorityClass.BATCH, Duration.ofSeconds(20)));

        assertThat(router.conclusions)
                .extracting(conclude -> conclude.id().value())
                .containsExactly("batch", "batch2");
        assertThat(router.conclusions)
                .allSatisfy(conclude -> assertThat(conclude.outcome()).isInstanceOf(Outcome.NotRun.class));
        router.answer(router.lastSend(), "done");
        assertThat(router.lastSend().id()).isEqualTo(new RequestId("urgent"));
    }

    @Test
    void aRequestThatCanNotMeetItsDeadlineIsRefusedWithARetryDelay() {
        TestSite slow = site(1, false, new LimitSettings(1, 1, 100, Duration.ofSeconds(60)), TestConfigurations.RETRY);
        TestSite.Node router = slow.node("n0");
        for (int count = 0; count < 20; count++) {
            router.arrive(slow.request("r" + count, true));
            slow.advance(Duration.ofSeconds(1));
            router.answer(router.lastSend(), "done");
        }
        IntStream.range(0, 5).forEach(count -> router.arrive(slow.request("q" + count, true)));
        int before = router.conclusions.size();
        router.arrive(slow.request("hurried", true, PriorityClass.NORMAL, Duration.ofSeconds(2)));

        assertThat(router.conclusions).hasSize(before + 1);
        assertThat(router.lastOutcome()).isInstanceOfSatisfying(Outcome.NotRun.class, refusal -> {
            assertThat(refusal.code()).isEqualTo("deadline-unreachable");
            assertThat(refusal.retryAfter().orElseThrow()).isGreaterThan(Duration.ofSeconds(1));
        });
    }

    @Test
    void aRequestForAPoolWithoutEndpointsIsRefusedAfterTheTimeout() {
        List.of("e0", "e1", "e2").forEach(name -> node.endpointConditions.put(name, EndpointCondition.DOWN));
        node.arrive(site.request(node.id("a"), false));
        site.advance(Duration.ofMillis(600));

        assertThat(node.lastOutcome())
                .isInstanceOfSatisfying(Outcome.NotRun.class, refusal -> assertThat(refusal.retryAfter())
                        .isPresent());
    }

    @Test
    void anEndpointReportsTheOutcomeOfARequestWhoseAnswerWasLost() {
        TestSite settling = site(3, true, TestConfigurations.LIMITS, TestConfigurations.RETRY);
        TestSite.Node home = settling.node("n0");
        home.arrive(settling.request(home.id("a"), false));
        home.end(home.lastSend(), LOST);
        assertThat(home.settles).hasSize(1);
        home.tick(new RequestEvent.Settled(
                home.lastSend().id(),
                home.lastSend().endpoint(),
                new SettlementResult.Answered(201, "text/plain", Bytes.ofUtf8("posted"))));

        assertThat(((Outcome.Answered) home.lastOutcome()).body().toUtf8()).isEqualTo("posted");
        assertThat(home.sends).hasSize(1);
    }
}
