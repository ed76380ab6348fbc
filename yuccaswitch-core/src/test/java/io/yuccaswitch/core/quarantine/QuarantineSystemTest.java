package io.yuccaswitch.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.quarantine.EndpointStates.State;
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
    private static final RequestFingerprint HARMLESS = fingerprint("harmless");
    private static final Loss ENDED = new Loss(Loss.Cause.ENDPOINT_ENDED, true);
    private static final Loss BROKEN_OFF = new Loss(Loss.Cause.BROKEN_OFF, true);

    private final TestSite site = new TestSite();
    private final Map<String, QuarantineSystem> systems = new HashMap<>();
    private final Map<EndpointName, State> endpointStates = new HashMap<>();
    private final Set<String> partitioned = new HashSet<>();

    @BeforeEach
    void startThreeNodes() {
        site.connect((from, to) -> partitioned.contains(from) || partitioned.contains(to));
        List.of("a", "b", "c").forEach(this::start);
        run(100);
    }

    @Test
    void requestIsHeldAtAllNodesOnceThreeEndpointsTerminatedAtAnyNodes() {
        terminate("a", HARMFUL, "e1");
        terminate("b", HARMFUL, "e2");
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Restrain.class::isInstance);
        terminate("c", HARMFUL, "e3");
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Serve.class::isInstance);
    }

    @Test
    void oneTerminatedEndpointOnlyRequiresNewConnections() {
        terminate("a", HARMLESS, "e1");
        run(100);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Observe.class::isInstance);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict::allowsRetry);
    }

    @Test
    void answerClearsRequestAtAllNodes() {
        terminate("a", HARMLESS, "e1");
        terminate("a", HARMLESS, "e2");
        run(100);
        node("b").accept(new QuarantineEvent.Served(HARMLESS));
        run(100);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Serve.class::isInstance);
        run(5000);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Serve.class::isInstance);
    }

    @Test
    void harmlessRequestAtTheSameEndpointsAsAHarmfulOneIsNotHeldAndIsClearedByAnAnswer() {
        for (String endpoint : List.of("e1", "e2", "e3")) {
            terminate("a", HARMFUL, endpoint);
            terminate("b", HARMLESS, endpoint);
        }
        run(100);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Restrain.class::isInstance);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Restrain.class::isInstance);
        node("c").accept(new QuarantineEvent.Served(HARMLESS));
        run(100);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Serve.class::isInstance);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
    }

    @Test
    void harmfulRequestIsHeldAfterFourthEndpointDespiteOtherRequestsAtTheFirstThree() {
        for (String endpoint : List.of("e1", "e2", "e3")) {
            terminate("a", HARMFUL, endpoint);
            terminate("b", HARMLESS, endpoint);
        }
        terminate("c", HARMFUL, "e4");
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Restrain.class::isInstance);
    }

    @Test
    void connectionsThatWereClosedBeforeDoNotHoldARequest() {
        for (String endpoint : List.of("e1", "e2", "e3", "e4", "e5")) {
            recordLoss("a", HARMLESS, endpoint, new Loss(Loss.Cause.ENDPOINT_ENDED, false));
        }
        run(100);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Observe.class::isInstance);
    }

    @Test
    void abortedAttemptCountsOnceItsEndpointIsFoundTerminated() {
        recordLoss("a", HARMFUL, "e1", BROKEN_OFF);
        recordLoss("a", HARMFUL, "e2", BROKEN_OFF);
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Serve.class::isInstance);
        node("a").accept(new QuarantineEvent.EndpointEnded(endpoint("e1")));
        endpointStates.put(endpoint("e2"), State.GONE);
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Restrain.class::isInstance);
    }

    @Test
    void abortedAttemptCountsOnceAnotherNodeReportsItsEndpointTerminated() {
        recordLoss("a", HARMFUL, "e1", BROKEN_OFF);
        terminate("b", HARMFUL, "e2");
        terminate("b", HARMLESS, "e1");
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Restrain.class::isInstance);
    }

    @Test
    void endpointThatRefusesConnectionsFromOneNodeIsNotAvoidedByOtherNodes() {
        node("a").accept(new QuarantineEvent.EndpointEnded(endpoint("e1")));
        run(100);
        assertThat(system("a").view().ended()).containsExactly(endpoint("e1"));
        assertThat(system("b").view().ended()).isEmpty();
    }

    @Test
    void attemptAbortedLongBeforeItsEndpointTerminatedDoesNotCount() {
        recordLoss("a", HARMLESS, "e1", BROKEN_OFF);
        run(7000);
        node("a").accept(new QuarantineEvent.EndpointEnded(endpoint("e1")));
        run(100);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Serve.class::isInstance);
    }

    @Test
    void plannedStopOfAnEndpointIsNoEvidence() {
        endpointStates.put(endpoint("e1"), State.LEAVING);
        terminate("a", HARMLESS, "e1");
        run(100);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Serve.class::isInstance);
    }

    @Test
    void evidenceIsDroppedWhileTheRegistryStillListsTheEndpoints() {
        List.of("e1", "e2", "e3").forEach(name -> endpointStates.put(endpoint(name), State.WORKING));
        List.of("e1", "e2", "e3").forEach(name -> terminate("a", HARMLESS, name));
        run(100);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Refuse.class::isInstance);
        run(10_000);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Serve.class::isInstance);
    }

    @Test
    void suspectsOutlastTheTerminationOfAllNodes() {
        List.of("e1", "e2", "e3").forEach(name -> terminate("a", HARMFUL, name));
        run(1000);
        List.of("a", "b", "c").forEach(site::kill);
        run(1000);
        List.of("a", "b", "c").forEach(this::start);
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
    }

    @Test
    void terminationsThatThreeNodesObserveSimultaneouslyAreStoredOnThePlatform() {
        terminate("a", HARMFUL, "e1");
        terminate("b", HARMFUL, "e2");
        terminate("c", HARMFUL, "e3");
        run(1500);
        List.of("a", "b", "c").forEach(site::kill);
        List.of("a", "b", "c").forEach(this::start);
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
    }

    @Test
    void nodeThatStartsWhileThePlatformIsUnreachableReceivesSuspectsFromOtherNodes() {
        List.of("e1", "e2", "e3").forEach(name -> terminate("a", HARMFUL, name));
        run(1000);
        site.platform().failWhere((_node, _call) -> true);
        start("d");
        run(100);
        assertThat(verdict("d", HARMFUL)).isInstanceOf(Verdict.Refuse.class);
    }

    @Test
    void partitionedNodeCatchesUpAfterReconnecting() {
        partitioned.add("c");
        List.of("e1", "e2", "e3").forEach(name -> terminate("a", HARMFUL, name));
        run(15_000);
        assertThat(verdict("c", HARMFUL)).isInstanceOf(Verdict.Serve.class);
        partitioned.clear();
        run(3000);
        assertThat(verdict("c", HARMFUL)).isInstanceOf(Verdict.Refuse.class);
    }

    @Test
    void evidenceRecordedWhileThePlatformIsUnreachableIsStoredLater() {
        site.platform().failWhere((_node, _call) -> true);
        List.of("e1", "e2", "e3").forEach(name -> terminate("a", HARMFUL, name));
        run(5000);
        site.platform().failWhere((_node, _call) -> false);
        run(3000);
        List.of("a", "b", "c").forEach(site::kill);
        List.of("a", "b", "c").forEach(this::start);
        run(100);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
    }

    @Test
    void heldRequestGetsOneTrialAfterItsHoldTimeAndIsHeldForLongerIfAnotherEndpointTerminates() {
        List.of("e1", "e2", "e3").forEach(name -> terminate("a", HARMFUL, name));
        run(31_000);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Trial.class::isInstance);
        node("b").accept(new QuarantineEvent.TrialBegun(HARMFUL));
        run(50);
        assertThat(verdicts(HARMFUL)).allMatch(Verdict.Refuse.class::isInstance);
        terminate("b", HARMFUL, "e4");
        run(100);
        assertThat(verdicts(HARMFUL))
                .allMatch(verdict -> verdict instanceof Verdict.Refuse refuse
                        && refuse.retryDelay().compareTo(Duration.ofMinutes(9)) > 0);
    }

    @Test
    void operatorReleasesRequestAtAllNodes() {
        List.of("e1", "e2", "e3").forEach(name -> terminate("a", HARMLESS, name));
        run(1000);
        node("c").accept(new QuarantineEvent.Released(HARMLESS));
        run(5000);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Serve.class::isInstance);
        List.of("a", "b", "c").forEach(site::kill);
        List.of("a", "b", "c").forEach(this::start);
        run(100);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Serve.class::isInstance);
    }

    /**
     * Guards against a released request that is reported as suspect again: an attempt from before the release, whose
     * endpoint is found to have terminated only afterwards, must not count as evidence. It did for ten minutes, as it
     * was recorded with the time of detection.
     */
    @Test
    void attemptFromBeforeTheReleaseDoesNotReintroduceAReleasedRequest() {
        recordLoss("a", HARMLESS, "e4", BROKEN_OFF);
        List.of("e1", "e2", "e3").forEach(name -> terminate("b", HARMLESS, name));
        run(1000);
        node("c").accept(new QuarantineEvent.Released(HARMLESS));
        run(1000);
        node("a").accept(new QuarantineEvent.EndpointEnded(endpoint("e4")));
        run(3000);
        assertThat(verdicts(HARMLESS)).allMatch(Verdict.Serve.class::isInstance);
        assertThat(systems.values())
                .allSatisfy(system -> assertThat(system.view().entries()).isEmpty());
    }

    @Test
    void requestsWithFewTerminatedEndpointsAreEvictedFirst() {
        List.of("e1", "e2", "e3").forEach(name -> terminate("a", HARMFUL, name));
        run(100);
        for (int i = 0; i < 2 * QuarantineState.MAXIMUM_SUSPECTS; i++) {
            terminate("a", fingerprint("request-" + i), "e9");
        }
        run(500);
        assertThat(system("a").view().entries()).hasSizeLessThanOrEqualTo(QuarantineState.MAXIMUM_SUSPECTS);
        assertThat(verdict("a", HARMFUL)).isInstanceOf(Verdict.Refuse.class);
    }

    @Test
    void noMessagesAreSentAfterStartupWithoutSuspects() {
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
                    endpoint -> endpointStates.getOrDefault(endpoint, State.UNKNOWN),
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

    private void terminate(String node, RequestFingerprint request, String endpoint) {
        recordLoss(node, request, endpoint, ENDED);
    }

    private void recordLoss(String node, RequestFingerprint request, String endpoint, Loss loss) {
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
