package io.yuccaswitch.core.endpoint;

import static io.yuccaswitch.core.endpoint.EndpointFixture.name;
import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Few nodes read the platform's list, which lags and is only one of the sources for leaving endpoints. */
final class VirtualMachineListSystemTest {

    private static final String[] NODES = {"vm-1", "vm-2", "vm-3"};

    private final EndpointFixture reader = fixture(true);

    @Test
    void oneNodeOfAZoneReadsTheList() {
        long readers = List.of(NODES).stream()
                .filter(node -> !started(node)
                        .take(PlatformEffect.ListVirtualMachines.class)
                        .isEmpty())
                .count();
        assertThat(readers).isEqualTo(1);
    }

    @Test
    void aListedEndpointIsLeavingAndPeersAreNotified() {
        reader.tick(reader.reported(0, "i1", false));
        reader.tick(listed(true));
        assertThat(reader.condition(0)).isEqualTo(EndpointCondition.LEAVING);
        assertThat(reader.take(PeerEffect.Send.class))
                .extracting(PeerEffect.Send::message)
                .containsOnly(new EndpointMessage.Listed(name(0), true))
                .hasSize(2);
        reader.tick(listed(true));
        assertThat(reader.take(PeerEffect.Send.class)).isEmpty();
    }

    @Test
    void aNewIncarnationIsLiveWhileTheListLags() {
        reader.tick(reader.reported(0, "i1", false), listed(true));
        reader.tick(reader.reported(0, "i2", false));
        for (int read = 0; read < 5; read++) {
            reader.advance(Duration.ofSeconds(2));
            reader.tick(listed(true));
            assertThat(reader.condition(0)).isEqualTo(EndpointCondition.LIVE);
        }
        reader.advance(LeavingState.MAXIMUM_LIST_LAG);
        reader.tick(listed(true));
        assertThat(reader.condition(0)).as("after the maximum lag of the list").isEqualTo(EndpointCondition.LEAVING);
    }

    @Test
    void anInconsistentListDoesNotMakeALeavingEndpointLive() {
        reader.tick(reader.reported(0, "i1", false), listed(true));
        for (int read = 0; read < 6; read++) {
            reader.advance(Duration.ofSeconds(2));
            reader.tick(listed(false));
            assertThat(reader.condition(0)).isEqualTo(EndpointCondition.LEAVING);
            reader.tick(listed(true));
        }
    }

    @Test
    void aWrongListingIsDroppedAfterItsValidity() {
        reader.tick(reader.reported(0, "i1", false), listed(true));
        reader.advance(LeavingState.LISTING_VALIDITY);
        assertThat(reader.condition(0)).as("without another read of the list").isEqualTo(EndpointCondition.LEAVING);
        reader.tick(listed(false));
        assertThat(reader.condition(0)).isEqualTo(EndpointCondition.LIVE);
    }

    @Test
    void anEndpointsOwnReportOutlastsTheListing() {
        reader.tick(reader.reported(0, "i1", true), listed(true));
        reader.advance(LeavingState.LISTING_VALIDITY.plusSeconds(60));
        reader.tick(listed(false));
        reader.tick(reader.reported(0, "i1", false));
        assertThat(reader.condition(0)).isEqualTo(EndpointCondition.LEAVING);
    }

    @Test
    void aNotifiedNodeQueriesTheReaderUntilTheEndpointIsNotListed() {
        EndpointFixture other = fixture(false);
        other.tick(EndpointFixture.received("vm-9", new EndpointMessage.Listed(name(0), true)));
        assertThat(other.condition(0)).isEqualTo(EndpointCondition.LEAVING);
        other.effects.clear();
        other.advance(LeavingState.LISTING_VALIDITY);
        List<PeerEffect.Send> queries = other.take(PeerEffect.Send.class);
        assertThat(queries).isNotEmpty().allMatch(send -> send.message()
                .equals(new EndpointMessage.ListedQuery(name(0))));

        reader.tick(listed(false));
        reader.effects.clear();
        reader.tick(EndpointFixture.received(
                "vm-9", queries.get(0).message() instanceof EndpointMessage query ? query : null));
        PeerEffect.Send answer = reader.take(PeerEffect.Send.class).get(0);
        assertThat(answer.target().value()).isEqualTo("vm-9");

        other.tick(EndpointFixture.received("vm-8", (EndpointMessage) answer.message()));
        assertThat(other.condition(0)).isEqualTo(EndpointCondition.LIVE);
    }

    @Test
    void aStaleListIsNotUsedForAnswers() {
        reader.tick(listed(false));
        reader.advance(Duration.ofSeconds(30));
        reader.effects.clear();
        reader.tick(EndpointFixture.received("vm-9", new EndpointMessage.ListedQuery(name(0))));
        assertThat(reader.take(PeerEffect.Send.class)).isEmpty();
    }

    @Test
    void anUnavailablePlatformChangesNothingAndIsQueriedAgain() {
        List<PlatformEffect.ListVirtualMachines> calls = reader.take(PlatformEffect.ListVirtualMachines.class);
        reader.tick(new PlatformEvent.Unavailable(calls.get(0).token(), false, "outage"));
        reader.advance(Duration.ofSeconds(3));
        assertThat(reader.take(PlatformEffect.ListVirtualMachines.class)).hasSize(1);
        assertThat(reader.condition(0)).isEqualTo(EndpointCondition.LIVE);
    }

    private static Event listed(boolean leaving) {
        return new PlatformEvent.VirtualMachinesListed(
                99,
                List.of(
                        new PlatformEvent.VirtualMachine("vm-e0", EndpointFixture.address(0), leaving),
                        new PlatformEvent.VirtualMachine("vm-other", "10.9.9.9:1", true)));
    }

    private static EndpointFixture started(String node) {
        EndpointFixture fixture = new EndpointFixture(node, NODES);
        fixture.tick(EndpointFixture.inForce(1, 2, 16));
        return fixture;
    }

    /** Returns the first node that reads the list, or the first that does not. */
    private static EndpointFixture fixture(boolean reads) {
        return List.of(NODES).stream()
                .map(VirtualMachineListSystemTest::started)
                .filter(fixture ->
                        fixture.effects.stream().anyMatch(PlatformEffect.ListVirtualMachines.class::isInstance)
                                == reads)
                .findFirst()
                .orElseThrow();
    }
}
