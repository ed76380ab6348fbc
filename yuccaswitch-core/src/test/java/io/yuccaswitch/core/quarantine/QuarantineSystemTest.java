package io.yuccaswitch.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.quarantine.EndpointStandings.Standing;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class QuarantineSystemTest {

    private static final PoolName POOL = new PoolName("ledger");
    private static final RequestFingerprint HARMFUL = fingerprint("harmful");
    private static final RequestFingerprint INNOCENT = fingerprint("innocent");
    private static final Loss ENDED = new Loss(Loss.Cause.ENDPOINT_ENDED, true);
    private static final Loss BROKEN_OFF = new Loss(Loss.Cause.BROKEN_OFF, true);

    private final TestSite site = new TestSite();
    private final Map<String, QuarantineSystem> systems = new HashMap<>();
    private final Map<EndpointName, Standing> standings = new HashMap<>();
    private final Set<String> cutOff = new HashSet<>();

    @BeforeEach
    void startThreeNodes() {
        site.connect((from, to) -> cutOff.contains(from) || cutOff.contains(to));
        List.of("a", "b", "c").forEach(this::start);
        run(100);
    }

    @Test
    void aRequestIsHeldAtAllNodesOnceThreeEndpointsEndedUnderItAtAny() {
        end("a", HARMFUL, "e1");
        end("b", HARMFUL, "e2");
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Restrain.class::isInstance);
        end("c", HARMFUL, "e3");
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Serve.class::isInstance);
    }

    @Test
    void oneEndedEndpointChangesNothingButTheConnection() {
        end("a", INNOCENT, "e1");
        run(100);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Observe.class::isInstance);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict::allowsRetry);
    }

    @Test
    void anAnswerClearsARequestEverywhere() {
        end("a", INNOCENT, "e1");
        end("a", INNOCENT, "e2");
        run(100);
        node("b").accept(new QuarantineEvent.Served(INNOCENT));
        run(100);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Serve.class::isInstance);
        run(5000);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Serve.class::isInstance);
    }

    @Test
    void aRequestThatWasAtTheSameEndpointsAsAHarmfulOneIsNotHeldAndClearsItself() {
        for (String endpoint : List.of("e1", "e2", "e3")) {
            end("a", HARMFUL, endpoint);
            end("b", INNOCENT, endpoint);
        }
        run(100);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Restrain.class::isInstance);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Restrain.class::isInstance);
        node("c").accept(new QuarantineEvent.Served(INNOCENT));
        run(100);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Serve.class::isInstance);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
    }

    @Test
    void aHarmfulRequestIsHeldAfterOneMoreEndpointWhoeverWasAtTheFirstThree() {
        for (String endpoint : List.of("e1", "e2", "e3")) {
            end("a", HARMFUL, endpoint);
            end("b", INNOCENT, endpoint);
        }
        end("c", HARMFUL, "e4");
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Restrain.class::isInstance);
    }

    @Test
    void connectionsThatHadEndedBeforeHoldNoRequest() {
        for (String endpoint : List.of("e1", "e2", "e3", "e4", "e5")) {
            lose("a", INNOCENT, endpoint, new Loss(Loss.Cause.ENDPOINT_ENDED, false));
        }
        run(100);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Observe.class::isInstance);
    }

    @Test
    void anAttemptThatWasBrokenOffCountsOnceItsEndpointIsFoundToHaveEnded() {
        lose("a", HARMFUL, "e1", BROKEN_OFF);
        lose("a", HARMFUL, "e2", BROKEN_OFF);
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Serve.class::isInstance);
        node("a").accept(new QuarantineEvent.EndpointEnded(endpoint("e1")));
        standings.put(endpoint("e2"), Standing.GONE);
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Restrain.class::isInstance);
    }

    @Test
    void anAttemptThatWasBrokenOffCountsOnceAnotherNodeLostItsEndpoint() {
        lose("a", HARMFUL, "e1", BROKEN_OFF);
        end("b", HARMFUL, "e2");
        end("b", INNOCENT, "e1");
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Restrain.class::isInstance);
    }

    @Test
    void whatRefusesOneNodeAloneIsNotAvoidedByTheOthers() {
        node("a").accept(new QuarantineEvent.EndpointEnded(endpoint("e1")));
        run(100);
        assertThat(system("a").view().ended()).containsExactly(endpoint("e1"));
        assertThat(system("b").view().ended()).isEmpty();
    }

    @Test
    void anAttemptThatWasBrokenOffLongBeforeItsEndpointEndedDoesNotCount() {
        lose("a", INNOCENT, "e1", BROKEN_OFF);
        run(7000);
        node("a").accept(new QuarantineEvent.EndpointEnded(endpoint("e1")));
        run(100);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Serve.class::isInstance);
    }

    @Test
    void anEndpointThatStopsAsPlannedCountsForNoRequest() {
        standings.put(endpoint("e1"), Standing.LEAVING);
        end("a", INNOCENT, "e1");
        run(100);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Serve.class::isInstance);
    }

    @Test
    void endpointsThatTheRegistryStillNamesLaterHaveNotEnded() {
        List.of("e1", "e2", "e3").forEach(name -> standings.put(endpoint(name), Standing.WORKING));
        List.of("e1", "e2", "e3").forEach(name -> end("a", INNOCENT, name));
        run(100);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Refuse.class::isInstance);
        run(10_000);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Serve.class::isInstance);
    }

    @Test
    void whatIsKnownOutlastsTheEndOfAllNodes() {
        List.of("e1", "e2", "e3").forEach(name -> end("a", HARMFUL, name));
        run(1000);
        List.of("a", "b", "c").forEach(site::kill);
        run(1000);
        List.of("a", "b", "c").forEach(this::start);
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
    }

    @Test
    void endsThatThreeNodesFindAtTheSameMomentAreKeptOnThePlatformToo() {
        end("a", HARMFUL, "e1");
        end("b", HARMFUL, "e2");
        end("c", HARMFUL, "e3");
        run(1500);
        List.of("a", "b", "c").forEach(site::kill);
        List.of("a", "b", "c").forEach(this::start);
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
    }

    @Test
    void aNodeThatStartsWhileThePlatformIsAwayLearnsFromTheOthers() {
        List.of("e1", "e2", "e3").forEach(name -> end("a", HARMFUL, name));
        run(1000);
        site.platform().failWhere((_node, _call) -> true);
        start("d");
        run(100);
        assertThat(verdict("d", HARMFUL)).isInstanceOf(Verdict.Refuse.class);
    }

    @Test
    void aNodeThatWasCutOffLearnsWhatItMissed() {
        cutOff.add("c");
        List.of("e1", "e2", "e3").forEach(name -> end("a", HARMFUL, name));
        run(15_000);
        assertThat(verdict("c", HARMFUL)).isInstanceOf(Verdict.Serve.class);
        cutOff.clear();
        run(3000);
        assertThat(verdict("c", HARMFUL)).isInstanceOf(Verdict.Refuse.class);
    }

    @Test
    void whatIsFoundWhileThePlatformIsAwayIsKeptThereLater() {
        site.platform().failWhere((_node, _call) -> true);
        List.of("e1", "e2", "e3").forEach(name -> end("a", HARMFUL, name));
        run(5000);
        site.platform().failWhere((_node, _call) -> false);
        run(3000);
        List.of("a", "b", "c").forEach(site::kill);
        List.of("a", "b", "c").forEach(this::start);
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
    }

    @Test
    void aHeldRequestIsTriedOnceAfterItsTimeAndHeldForLongerIfAnotherEndpointEnds() {
        List.of("e1", "e2", "e3").forEach(name -> end("a", HARMFUL, name));
        run(31_000);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Try.class::isInstance);
        node("b").accept(new QuarantineEvent.TrialBegun(HARMFUL));
        run(50);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
        end("b", HARMFUL, "e4");
        run(100);
        assertThat(verdicts(HARMFUL))
                .allMatch(verdict -> verdict instanceof Verdict.Refuse refuse
                        && refuse.comeBack().compareTo(Duration.ofMinutes(9)) > 0);
    }

    @Test
    void anOperatorLetsARequestGoAtAllNodes() {
        List.of("e1", "e2", "e3").forEach(name -> end("a", INNOCENT, name));
        run(1000);
        node("c").accept(new QuarantineEvent.Released(INNOCENT));
        run(5000);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Serve.class::isInstance);
        List.of("a", "b", "c").forEach(site::kill);
        List.of("a", "b", "c").forEach(this::start);
        run(100);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Serve.class::isInstance);
    }

    /**
     * An operator let a request go, and it was shown again a moment later, for ten minutes: an attempt from before,
     * whose endpoint was found to have ended only then, counted as if it had been made since.
     */
    @Test
    void anAttemptFromBeforeDoesNotBringBackARequestThatAnOperatorLetGo() {
        lose("a", INNOCENT, "e4", BROKEN_OFF);
        List.of("e1", "e2", "e3").forEach(name -> end("b", INNOCENT, name));
        run(1000);
        node("c").accept(new QuarantineEvent.Released(INNOCENT));
        run(1000);
        node("a").accept(new QuarantineEvent.EndpointEnded(endpoint("e4")));
        run(3000);
        assertThat(verdicts(INNOCENT)).allMatch(Verdict.Serve.class::isInstance);
        assertThat(systems.values())
                .allSatisfy(system -> assertThat(system.view().entries()).isEmpty());
    }

    @Test
    void requestsWithFewEndedEndpointsMakeRoomForThoseWithMany() {
        List.of("e1", "e2", "e3").forEach(name -> end("a", HARMFUL, name));
        run(100);
        for (int i = 0; i < 2 * QuarantineState.MAXIMUM_SUSPECTS; i++) {
            end("a", fingerprint("request-" + i), "e9");
        }
        run(500);
        assertThat(system("a").view().entries()).hasSizeLessThanOrEqualTo(QuarantineState.MAXIMUM_SUSPECTS);
        assertThat(verdict("a", HARMFUL)).isInstanceOf(Verdict.Refuse.class);
    }

    @Test
    void nothingIsSentAfterTheStartWhileNothingIsKnown() {
        run(11_000);
        List.of("a", "b", "c").forEach(name -> node(name).take(PeerEffect.Send.class));
        run(20_000);
        assertThat(node("a").take(PeerEffect.Send.class)).isEmpty();
    }

    private final Map<String, TestNode> nodes = new HashMap<>();

    private void start(String name) {
        nodes.put(name, site.start(name, (node, tokens) -> {
            QuarantineSystem system = new QuarantineSystem(
                    node,
                    tokens,
                    endpoint -> standings.getOrDefault(endpoint, Standing.UNTOLD),
                    () -> site.now().nanoseconds() / 1_000_000);
            systems.put(name, system);
            return List.of(system);
        }));
    }

    private void run(int millis) {
        site.run(Duration.ofMillis(millis));
    }

    private TestNode node(String name) {
        return nodes.get(name);
    }

    private QuarantineSystem system(String name) {
        return systems.get(name);
    }

    private void end(String node, RequestFingerprint request, String endpoint) {
        lose(node, request, endpoint, ENDED);
    }

    private void lose(String node, RequestFingerprint request, String endpoint, Loss loss) {
        node(node).accept(new QuarantineEvent.AnswerLost(request, "POST site.example/x", endpoint(endpoint), loss));
    }

    private Verdict verdict(String node, RequestFingerprint request) {
        return system(node).view().verdict(request, system(node).epochMillis());
    }

    private List<Verdict> verdicts(RequestFingerprint request) {
        return List.of("a", "b", "c").stream()
                .map(name -> verdict(name, request))
                .toList();
    }

    private static EndpointName endpoint(String name) {
        return new EndpointName(POOL, name);
    }

    private static RequestFingerprint fingerprint(String body) {
        return RequestFingerprint.of("", "site.example", "POST", "/x", Bytes.ofUtf8(body));
    }
}
