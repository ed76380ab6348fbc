package io.yuccaswitch.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.endpoint.EndpointCondition;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class AtMostOnceTest {

    private final TestSite site = site(false);
    private final TestSite.Node home = site.node("n0");
    private final TestSite.Node other = site.node("n1");

    private static TestSite site(boolean settles) {
        return new TestSite(
                TestConfigurations.site(
                        TestConfigurations.pool(3, settles, TestConfigurations.LIMITS, TestConfigurations.RETRY)),
                3);
    }

    private int sends() {
        return site.nodes.values().stream().mapToInt(node -> node.sends.size()).sum();
    }

    private void observeAsDead(TestSite.Node dead) {
        site.nodes
                .values()
                .forEach(node -> node.observedConditions.put(dead.identity.toString(), MemberCondition.DEAD));
    }

    private static String text(Outcome outcome) {
        return ((Outcome.Answered) outcome).body().toUtf8();
    }

    @Test
    void anotherNodeForwardsTheRequestToItsHomeAndReturnsTheOutcome() {
        other.arrive(site.request(home.id("a"), false));
        site.deliverAll();
        assertThat(other.sends).isEmpty();
        home.answer(home.lastSend(), "done");
        site.deliverAll();

        assertThat(text(other.lastOutcome())).isEqualTo("done");
        assertThat(home.conclusions).isEmpty();
    }

    @Test
    void aRequestRepeatedAtAnotherNodeJoinsTheOneInProgress() {
        home.arrive(site.request(home.id("a"), false));
        other.arrive(site.request(home.id("a"), false));
        site.deliverAll();
        home.answer(home.lastSend(), "done");
        site.deliverAll();

        assertThat(sends()).isOne();
        assertThat(text(home.lastOutcome())).isEqualTo("done");
        assertThat(text(other.lastOutcome())).isEqualTo("done");
    }

    @Test
    void aLostForwardMessageIsRepeatedAndTheHomeSendsTheRequestOnce() {
        other.arrive(site.request(home.id("a"), false));
        site.envelopes.clear();
        site.advance(Duration.ofMillis(600));
        site.advance(Duration.ofMillis(600));
        assertThat(site.envelopes).hasSize(2);
        site.deliverAll();
        home.answer(home.lastSend(), "done");
        site.envelopes.clear();
        site.advance(Duration.ofMillis(600));
        site.deliverAll();

        assertThat(sends()).isOne();
        assertThat(text(other.lastOutcome())).isEqualTo("done");
    }

    @Test
    void aRequestWhoseHomeIsKilledBeforeTheAnswerIsUnknownAndNotSentAgain() {
        String id = home.id("a");
        home.arrive(site.request(id, false));
        home.kill();
        other.arrive(site.request(id, false));
        site.deliverAll();
        observeAsDead(home);
        site.advance(Duration.ofSeconds(1));
        site.deliverAll();
        site.advance(Duration.ofSeconds(2));

        assertThat(sends()).isOne();
        assertThat(other.lastOutcome()).isInstanceOf(Outcome.Unknown.class);
    }

    @Test
    void aRestartedHomeDoesNotSendIdsOfItsEarlierIncarnation() {
        String id = home.id("a");
        home.arrive(site.request(id, false));
        TestSite.Node restarted = site.start("n0");
        restarted.arrive(site.request(id, false));
        other.arrive(site.request(id, false));
        site.deliverAll();
        site.advance(Duration.ofSeconds(2));
        site.deliverAll();

        assertThat(restarted.sends).isEmpty();
        assertThat(other.sends).isEmpty();
        assertThat(restarted.lastOutcome()).isInstanceOf(Outcome.Unknown.class);
        assertThat(other.lastOutcome()).isInstanceOf(Outcome.Unknown.class);
    }

    @Test
    void aForwardToTheEarlierIncarnationOfARestartedHomeIsUnknown() {
        String id = home.id("a");
        other.arrive(site.request(id, false));
        site.start("n0");
        site.deliverAll();
        site.advance(Duration.ofSeconds(2));
        site.deliverAll();
        site.advance(Duration.ofSeconds(2));

        assertThat(site.node("n0").sends).isEmpty();
        assertThat(other.lastOutcome()).isInstanceOf(Outcome.Unknown.class);
    }

    @Test
    void aPeerAnswersWithItsCopyOfTheOutcomeAfterTheHomeDied() {
        String id = home.id("a");
        home.arrive(site.request(id, false));
        home.answer(home.lastSend(), "first");
        site.deliverAll();
        home.kill();
        observeAsDead(home);
        for (String name : new String[] {"n1", "n2"}) {
            site.node(name).arrive(site.request(id, false));
            site.deliverAll();
            assertThat(text(site.node(name).lastOutcome())).isEqualTo("first");
        }
        assertThat(sends()).isOne();
    }

    @Test
    void anEndpointSettlesARequestWhoseHomeDied() {
        TestSite settling = site(true);
        TestSite.Node dead = settling.node("n0");
        TestSite.Node querying = settling.node("n1");
        String id = dead.id("a");
        dead.arrive(settling.request(id, false));
        dead.kill();
        querying.observedConditions.put(dead.identity.toString(), MemberCondition.DEAD);
        querying.arrive(settling.request(id, false));
        settling.deliverAll();
        settling.advance(ResolutionSystem.PHASE_TIMEOUT);
        assertThat(querying.settles).hasSize(3);
        querying.tick(new RequestEvent.Settled(
                new RequestId(id), querying.settles.get(0).endpoint(), new SettlementResult.NotSeen()));
        assertThat(querying.conclusions).isEmpty();
        querying.tick(new RequestEvent.Settled(
                new RequestId(id),
                querying.settles.get(1).endpoint(),
                new SettlementResult.Answered(200, "", Bytes.ofUtf8("posted"))));

        assertThat(text(querying.lastOutcome())).isEqualTo("posted");
        assertThat(querying.sends).isEmpty();
    }

    @Test
    void aRequestThatNoEndpointHasSeenIsUnknownInsteadOfNotRun() {
        TestSite settling = site(true);
        TestSite.Node dead = settling.node("n0");
        TestSite.Node querying = settling.node("n1");
        String id = dead.id("a");
        dead.kill();
        querying.observedConditions.put(dead.identity.toString(), MemberCondition.DEAD);
        querying.arrive(settling.request(id, false));
        settling.deliverAll();
        settling.advance(ResolutionSystem.PHASE_TIMEOUT);
        for (RequestEffect.Settle settle : querying.settles) {
            querying.tick(new RequestEvent.Settled(settle.id(), settle.endpoint(), new SettlementResult.NotSeen()));
        }

        assertThat(querying.lastOutcome()).isInstanceOf(Outcome.Unknown.class);
    }

    @Test
    void aHomeThatResumesAfterAPauseSendsAtMostOnce() {
        String id = home.id("a");
        other.arrive(site.request(id, false, PriorityClass.NORMAL, Duration.ofSeconds(3)));
        home.alive = false;
        observeAsDead(home);
        TestSite.Envelope delayed = site.envelopes.remove(0);
        site.advance(Duration.ofSeconds(1));
        site.deliverAll();
        site.advance(Duration.ofSeconds(9));
        assertThat(other.lastOutcome()).isInstanceOf(Outcome.Unknown.class);
        home.alive = true;
        site.deliver(delayed);
        site.deliver(delayed);
        other.arrive(site.request(id, false));
        site.deliverAll();

        assertThat(sends()).isOne();
    }

    @Test
    void anIdChosenByTheCallerIsClaimedBeforeTheRequestIsSent() {
        home.arrive(site.request("made-by-caller", false));
        assertThat(home.sends).isEmpty();
        site.answerPlatformCalls();

        assertThat(home.sends).hasSize(1);
    }

    @Test
    void theSecondNodeThatReceivesACallerChosenIdForwardsItToTheFirst() {
        home.arrive(site.request("made-by-caller", false));
        site.answerPlatformCalls();
        other.arrive(site.request("made-by-caller", false));
        site.answerPlatformCalls();
        site.deliverAll();
        home.answer(home.lastSend(), "done");
        site.deliverAll();

        assertThat(sends()).isOne();
        assertThat(text(other.lastOutcome())).isEqualTo("done");
    }

    @Test
    void aClaimWhoseAnswerWasLostIsReadToDetermineItsOwner() {
        home.arrive(site.request("made-by-caller", false));
        PlatformEffect write = site.platformCalls.remove(0).effect();
        site.apply(write);
        home.tick(new PlatformEvent.Unavailable(write.token(), true, "answer lost"));
        site.answerPlatformCalls();

        assertThat(home.sends).hasSize(1);
    }

    @Test
    void anUnconfirmedClaimIsWrittenAgainInsteadOfAssumed() {
        home.arrive(site.request("made-by-caller", false));
        PlatformEffect write = site.platformCalls.remove(0).effect();
        home.tick(new PlatformEvent.Unavailable(write.token(), true, "timeout"));
        other.arrive(site.request("made-by-caller", false));
        site.answerPlatformCalls();
        site.deliverAll();

        assertThat(sends()).isOne();
    }

    @Test
    void aCallerChosenIdIsNotSentAndUnknownWhileThePlatformIsUnreachable() {
        home.arrive(site.request("made-by-caller", false));
        site.answerPlatformCalls();
        other.arrive(site.request("made-by-caller", false));
        other.tick(new PlatformEvent.Unavailable(
                site.platformCalls.remove(0).effect().token(), false, "down"));

        assertThat(other.lastOutcome())
                .isInstanceOfSatisfying(Outcome.Unknown.class, unknown -> assertThat(unknown.code())
                        .isEqualTo("platform-unavailable"));
        assertThat(sends()).isOne();
    }

    @Test
    void idsWithAPrefixAreSentWithoutThePlatform() {
        home.arrive(site.request(home.id("a"), false));

        assertThat(home.sends).hasSize(1);
        assertThat(site.platformCalls).isEmpty();
    }

    @Test
    void aLookUpAtAnotherNodeReturnsTheAnswerOnlyToItsCaller() {
        String id = home.id("a");
        home.arrive(site.request(id, false));
        other.tick(new RequestEvent.LookupArrived(new RequestId(id), TestConfigurations.CALLER));
        site.deliverAll();
        assertThat(other.lookups.get(0).outcome())
                .isInstanceOfSatisfying(Outcome.Unknown.class, unknown -> assertThat(unknown.code())
                        .isEqualTo("in-progress"));
        home.answer(home.lastSend(), "done");
        site.deliverAll();
        other.tick(new RequestEvent.LookupArrived(new RequestId(id), TestConfigurations.CALLER));
        site.deliverAll();
        assertThat(text(other.lookups.get(1).outcome())).isEqualTo("done");
        other.tick(new RequestEvent.LookupArrived(
                new RequestId(id), new io.yuccaswitch.core.identity.CallerName("stranger")));
        site.deliverAll();
        site.advance(Duration.ofSeconds(3));
        assertThat(other.lookups.get(2).outcome()).isInstanceOf(Outcome.Unknown.class);
    }

    @Test
    void anIdWhoseRefusalWasSentToAnotherNodeIsNotSentAgainButANewIdIs() {
        String id = home.id("a");
        other.arrive(site.request(id, false));
        site.deliverAll();
        for (int attempt = 0; attempt < 3; attempt++) {
            home.end(home.lastSend(), new AttemptResult.NotRun("connect-failed", false));
            site.advance(Duration.ofMillis(200));
        }
        site.deliverAll();
        assertThat(other.lastOutcome()).isInstanceOf(Outcome.NotRun.class);
        other.arrive(site.request(id, false));
        site.deliverAll();
        home.arrive(site.request(id, false));
        assertThat(home.sends).hasSize(3);
        assertThat(other.lastOutcome()).isInstanceOf(Outcome.NotRun.class);
        assertThat(home.lastOutcome()).isInstanceOf(Outcome.NotRun.class);
        other.arrive(site.request(home.id("b"), false));
        site.deliverAll();
        assertThat(home.sends).hasSize(4);
        home.end(home.lastSend(), new AttemptResult.MaybeRun("lost", Optional.empty()));
        other.arrive(site.request(home.id("b"), false));
        site.deliverAll();
        site.advance(Duration.ofSeconds(3));

        assertThat(home.sends).hasSize(4);
    }

    @Test
    void aRestartedHomeDoesNotSendRequestsThatItsEarlierIncarnationClaimed() {
        home.arrive(site.request("made-by-caller", false));
        site.answerPlatformCalls();
        other.arrive(site.request("made-by-caller", false));
        site.answerPlatformCalls();
        TestSite.Node restarted = site.start("n0");
        site.deliverAll();
        site.advance(Duration.ofSeconds(2));
        site.deliverAll();
        site.advance(Duration.ofSeconds(2));

        assertThat(restarted.sends).isEmpty();
        assertThat(other.lastOutcome()).isInstanceOf(Outcome.Unknown.class);
    }

    @Test
    void aForwardMessageRepeatedAfterTheRefusalDoesNotRunTheRequest() {
        TestConfigurations.endpointNames(3).forEach(name -> home.endpointConditions.put(name, EndpointCondition.DOWN));
        other.arrive(site.request(home.id("a"), false));
        site.advance(Duration.ofMillis(600));
        TestSite.Envelope repeated = site.envelopes.remove(1);
        site.deliverAll();
        site.advance(Duration.ofMillis(600));
        site.deliverAll();
        assertThat(other.lastOutcome()).isInstanceOf(Outcome.NotRun.class);
        home.endpointConditions.clear();
        site.deliver(repeated);

        assertThat(home.sends).isEmpty();
        other.arrive(site.request(home.id("a"), false));
        site.deliverAll();
        assertThat(home.sends).isEmpty();
        other.arrive(site.request(home.id("b"), false));
        site.deliverAll();
        assertThat(home.sends).hasSize(1);
    }
}
