package io.yuccaswitch.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.endpoint.EndpointCondition;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class EndpointSubsetTest {

    private static final AvailabilityZone ZONE = new AvailabilityZone("z0");

    private static List<Endpoint> endpoints(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> new Endpoint(
                        new EndpointName(new PoolName("p"), "e" + index),
                        PoolKind.ENGINE,
                        "h:1",
                        new AvailabilityZone("z" + index % 3),
                        EndpointCondition.LIVE,
                        Optional.empty(),
                        Optional.empty(),
                        Map.of()))
                .toList();
    }

    private static List<Endpoint> pick(List<Endpoint> endpoints) {
        return EndpointSubset.pick(new NodeName("n"), ZONE, endpoints, 16);
    }

    @Test
    void endpointsInTheOwnZoneArePreferred() {
        assertThat(pick(endpoints(90))).hasSize(16).allSatisfy(endpoint -> assertThat(endpoint.availabilityZone())
                .isEqualTo(ZONE));
        assertThat(pick(endpoints(30)).stream()
                        .filter(endpoint -> endpoint.availabilityZone().equals(ZONE)))
                .hasSize(10);
    }

    @Test
    void removalOfAnEndpointChangesOnlyOneMemberOfTheSubset() {
        List<Endpoint> all = endpoints(90);
        List<Endpoint> before = pick(all);
        List<Endpoint> fewer = new ArrayList<>(all);
        fewer.remove(before.get(3));
        List<Endpoint> after = pick(fewer);

        assertThat(after).hasSize(16);
        assertThat(after.stream().filter(before::contains)).hasSize(15);
    }
}
