package io.yuccaswitch.core.endpoint;

import static io.yuccaswitch.core.endpoint.EndpointFixture.name;
import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.endpoint.EndpointEvent.Unreachable;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** A node probes the endpoints that it routes to, and detects the recovery of endpoints that were down. */
final class ProbeSystemTest {

    @Test
    void anEndpointIsProbedAtTheIntervalButNotWhileAProbeIsInFlight() {
        EndpointFixture fixture = EndpointFixture.withEndpoints(1);
        assertThat(fixture.take(EndpointEffect.Probe.class)).hasSize(1);
        fixture.advance(Duration.ofSeconds(3));
        assertThat(fixture.take(EndpointEffect.Probe.class)).isEmpty();
        for (int answer = 0; answer < 10; answer++) {
            fixture.tick(fixture.reported(0, "i1", false));
            fixture.advance(EndpointFixture.INTERVAL);
        }
        assertThat(fixture.take(EndpointEffect.Probe.class)).hasSizeBetween(9, 11);
    }

    @Test
    void aProbeWithoutAnAnswerTimesOut() {
        EndpointFixture fixture = EndpointFixture.withEndpoints(1);
        fixture.take(EndpointEffect.Probe.class);
        fixture.advance(Duration.ofSeconds(31));
        assertThat(fixture.take(EndpointEffect.Probe.class)).hasSize(1);
    }

    @Test
    void onlyTheNodesSubsetIsProbedAndItPrefersTheNodesZone() {
        EndpointFixture fixture = new EndpointFixture("vm-1", "vm-1");
        fixture.tick(EndpointFixture.inForce(1, 100, 8));
        List<EndpointEffect.Probe> probes = fixture.take(EndpointEffect.Probe.class);
        assertThat(probes).hasSize(8);
        assertThat(probes).allMatch(probe -> fixture.table
                .find(probe.endpoint())
                .orElseThrow()
                .availabilityZone()
                .equals(EndpointFixture.ZONE));
    }

    @Test
    void theReplacementOfALeavingEndpointIsProbed() {
        EndpointFixture fixture = new EndpointFixture("vm-1", "vm-1");
        fixture.tick(EndpointFixture.inForce(1, 100, 8));
        Set<EndpointEffect.Probe> before = Set.copyOf(fixture.take(EndpointEffect.Probe.class));
        int leaving =
                Integer.parseInt(before.iterator().next().endpoint().value().substring(1));
        fixture.tick(fixture.reported(leaving, "i1", true));
        assertThat(fixture.take(EndpointEffect.Probe.class)).hasSize(1).doesNotContainAnyElementsOf(before);
    }

    @Test
    void anEndpointThatIsDownIsProbedWithBackoffAndItsRecoveryIsDetected() {
        EndpointFixture fixture = EndpointFixture.withEndpoints(1);
        int probed = 0;
        for (int step = 0; step < 1200; step++) {
            if (!fixture.take(EndpointEffect.Probe.class).isEmpty()) {
                probed++;
                fixture.tick(new Unreachable(name(0), "test"));
            }
            fixture.advance(Duration.ofMillis(50));
        }
        assertThat(probed).as("probes in a minute").isBetween(12, 25);
        fixture.tick(fixture.reported(0, "i1", false));
        assertThat(fixture.condition(0)).isEqualTo(EndpointCondition.LIVE);
    }

    @Test
    void cacheEventsAreReadFromLiveEngines() {
        EndpointFixture fixture = EndpointFixture.withEndpoints(2);
        Set<String> read = fixture.take(EndpointEffect.ReadCacheEvents.class).stream()
                .map(EndpointEffect.ReadCacheEvents::address)
                .collect(Collectors.toSet());
        assertThat(read).containsExactlyInAnyOrder(EndpointFixture.address(0), EndpointFixture.address(1));
    }
}
