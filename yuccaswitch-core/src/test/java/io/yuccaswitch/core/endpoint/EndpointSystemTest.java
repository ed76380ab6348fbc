package io.yuccaswitch.core.endpoint;

import static io.yuccaswitch.core.endpoint.EndpointFixture.name;
import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.EndpointEvent.Leaving;
import io.yuccaswitch.core.endpoint.EndpointEvent.PrefixCached;
import io.yuccaswitch.core.endpoint.EndpointEvent.Unreachable;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.request.RequestId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * Rows follow the configuration, reports and failures, and a leaving endpoint gets no new requests, whichever source
 * reports it first.
 */
final class EndpointSystemTest {

    private final EndpointFixture fixture = EndpointFixture.withEndpoints(3);

    @Test
    void rowsFollowTheConfigurationAndKeepTheirState() {
        fixture.tick(fixture.reported(0, "i1", true), fixture.reported(1, "j1", false));
        fixture.tick(EndpointFixture.inForce(2, 5, 16));
        assertThat(fixture.table.view()).hasSize(5);
        assertThat(fixture.condition(0)).isEqualTo(EndpointCondition.LEAVING);
        fixture.tick(EndpointFixture.inForce(3, 1, 16));
        assertThat(fixture.table.view()).hasSize(1);
        assertThat(fixture.table.findAt(EndpointFixture.address(1))).isEmpty();
        assertThat(fixture.table.candidates(EndpointFixture.POOL)).isEmpty();
    }

    @Test
    void aReportIsKeptUntilItIsStale() {
        fixture.tick(fixture.reported(0, "i1", false));
        fixture.advance(EndpointFixture.MAXIMUM_AGE.minusMillis(100));
        assertThat(fixture.table.find(name(0)).orElseThrow().load()).isPresent();
        fixture.advance(Duration.ofMillis(500));
        assertThat(fixture.table.find(name(0)).orElseThrow().load()).isEmpty();
        assertThat(fixture.table.find(name(0)).orElseThrow().loadedVersions()).containsEntry("base", 3L);
    }

    @Test
    void anEndpointIsDownAfterConsecutiveFailuresAndLiveAfterOneReport() {
        fixture.tick(unreachable(0), unreachable(0));
        fixture.tick(fixture.reported(0, "i1", false));
        fixture.tick(unreachable(0), unreachable(0));
        assertThat(fixture.condition(0)).isEqualTo(EndpointCondition.LIVE);
        fixture.tick(unreachable(0));
        assertThat(fixture.condition(0)).isEqualTo(EndpointCondition.DOWN);
        assertThat(fixture.table.candidates(EndpointFixture.POOL))
                .extracting(Endpoint::name)
                .doesNotContain(name(0));
        fixture.tick(fixture.reported(0, "i1", false));
        assertThat(fixture.condition(0)).isEqualTo(EndpointCondition.LIVE);
        assertThat(fixture.decisions).containsExactly(name(0) + " DOWN", name(0) + " LIVE");
    }

    @Test
    void requestsThatCannotConnectAreTreatedAsFailures() {
        fixture.tick(connectFailed(0), connectFailed(0), connectFailed(0));
        assertThat(fixture.condition(0)).isEqualTo(EndpointCondition.DOWN);
    }

    @Test
    void eachSourceAloneMarksAnEndpointAsLeavingWithADecision() {
        fixture.tick(fixture.reported(0, "i0", true));
        fixture.tick(new Leaving(name(1), "", "own refusal"));
        fixture.tick(EndpointFixture.received("vm-2", new EndpointMessage.Leaving(name(2), "i2")));
        fixture.tick(fixture.reported(2, "i2", false));
        assertThat(IntStream.range(0, 3).mapToObj(fixture::condition)).containsOnly(EndpointCondition.LEAVING);
        assertThat(fixture.table.candidates(EndpointFixture.POOL)).isEmpty();
        assertThat(fixture.decisions).hasSize(3);
    }

    @Test
    void aNewIncarnationIsLive() {
        fixture.tick(fixture.reported(0, "i1", true));
        fixture.tick(fixture.reported(0, "i2", false));
        assertThat(fixture.condition(0)).isEqualTo(EndpointCondition.LIVE);
        fixture.tick(EndpointFixture.received("vm-2", new EndpointMessage.Leaving(name(0), "i1")));
        assertThat(fixture.condition(0))
                .as("late announcement about the replaced incarnation")
                .isEqualTo(EndpointCondition.LIVE);
    }

    @Test
    void aRejectionBeforeAnyReportAppliesToTheFirstReportedIncarnation() {
        fixture.tick(new Leaving(name(0), "", "own refusal"));
        fixture.tick(fixture.reported(0, "i1", false));
        assertThat(fixture.condition(0)).isEqualTo(EndpointCondition.LEAVING);
        fixture.tick(fixture.reported(0, "i2", false));
        assertThat(fixture.condition(0)).isEqualTo(EndpointCondition.LIVE);
    }

    @Property(tries = 300, seed = "20261202")
    void leavingOverridesLiveInAnyOrderOfUpdates(@ForAll("updates") List<Event> updates) {
        EndpointFixture shuffled = EndpointFixture.withEndpoints(1);
        updates.forEach(shuffled::tick);
        shuffled.tick(shuffled.reported(0, "i1", false));
        assertThat(shuffled.condition(0)).isEqualTo(EndpointCondition.LEAVING);
    }

    @Provide
    Arbitrary<List<Event>> updates() {
        EndpointFixture source = EndpointFixture.withEndpoints(1);
        List<Event> leaving = List.of(
                source.reported(0, "i1", true),
                new Leaving(name(0), "i1", "own refusal"),
                EndpointFixture.received("vm-2", new EndpointMessage.Leaving(name(0), "i1")));
        List<Event> others = List.of(
                source.reported(0, "i1", false),
                source.reported(0, "i0", false),
                unreachable(0),
                connectFailed(0),
                new EndpointEvent.Listed(name(0), false),
                EndpointFixture.received("vm-3", new EndpointMessage.Listed(name(0), false)),
                EndpointFixture.received("vm-3", new EndpointMessage.Leaving(name(0), "i0")));
        Arbitrary<List<Event>> background = Arbitraries.of(others).list().ofMaxSize(8);
        return Arbitraries.of(leaving)
                .flatMap(announcement -> background.flatMap(events -> Arbitraries.integers()
                        .between(0, events.size())
                        .map(index -> {
                            List<Event> all = new ArrayList<>(events);
                            all.add(index, announcement);
                            return all;
                        })));
    }

    @Test
    void aLeavingEndpointIsAnnouncedOnce() {
        fixture.tick(new Leaving(name(0), "i1", "own refusal"));
        assertThat(fixture.take(PeerEffect.Send.class))
                .extracting(send -> send.target().value())
                .containsExactlyInAnyOrder("vm-2", "vm-3");
        fixture.tick(fixture.reported(0, "i1", true));
        fixture.tick(EndpointFixture.received("vm-2", new EndpointMessage.Leaving(name(0), "i1")));
        assertThat(fixture.take(PeerEffect.Send.class)).isEmpty();
    }

    @Test
    void inALargeSiteEachNodeAnnouncesToAFewOthers() {
        String[] nodes =
                IntStream.range(0, 350).mapToObj(index -> "vm-" + index).toArray(String[]::new);
        EndpointFixture large = new EndpointFixture("vm-0", nodes);
        large.tick(EndpointFixture.inForce(1, 1, 16));
        large.tick(new Leaving(name(0), "i1", "own refusal"));
        assertThat(large.take(PeerEffect.Send.class))
                .hasSize(LeavingAnnouncer.RandomSubset.FAN_OUT)
                .extracting(PeerEffect.Send::target)
                .doesNotHaveDuplicates();
    }

    @Test
    void cachedPrefixesAreCountedFromTheShortestUpToTheFirstGap() {
        fixture.tick(cached(1, true), cached(2, true), cached(4, true));
        assertThat(fixture.table.cachedPrefixes(name(0), List.of(1L, 2L, 3L, 4L)))
                .isEqualTo(2);
        fixture.tick(cached(1, false));
        assertThat(fixture.table.cachedPrefixes(name(0), List.of(1L, 2L))).isZero();
    }

    @Test
    void retainedPrefixesAreBoundedAndDiscardedWithTheIncarnation() {
        fixture.tick(fixture.reported(0, "i1", false));
        fixture.tick(
                LongStream.range(0, 5000).mapToObj(hash -> cached(hash, true)).toArray(Event[]::new));
        assertThat(fixture.table.prefixes().size(name(0))).isEqualTo(PrefixIndex.MAXIMUM_PREFIXES);
        assertThat(fixture.table.cachedPrefixes(name(0), List.of(4999L))).isEqualTo(1);
        fixture.tick(fixture.reported(0, "i2", false));
        assertThat(fixture.table.prefixes().size(name(0))).isZero();
    }

    @Test
    void eventsForUnconfiguredEndpointsAreIgnored() {
        fixture.tick(
                fixture.reported(9, "i1", true),
                unreachable(9),
                new Leaving(name(9), "", "own refusal"),
                new PrefixCached(name(9), 1, true),
                connectFailed(9),
                EndpointFixture.received("vm-2", new EndpointMessage.Listed(name(9), true)));
        assertThat(fixture.table.view()).hasSize(3);
        assertThat(fixture.table.prefixes().size(name(9))).isZero();
    }

    private static Event cached(long hash, boolean cached) {
        return new PrefixCached(name(0), hash, cached);
    }

    private static Event unreachable(int endpoint) {
        return new Unreachable(name(endpoint), "test");
    }

    private static Event connectFailed(int endpoint) {
        return new RequestEvent.AttemptEnded(
                new RequestId("a"), 1, name(endpoint), new AttemptResult.NotRun(FailureCodes.CONNECT_FAILED, false));
    }
}
