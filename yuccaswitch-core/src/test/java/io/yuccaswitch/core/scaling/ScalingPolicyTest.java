package io.yuccaswitch.core.scaling;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.AvailabilityZone;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the desired number of endpoints. */
final class ScalingPolicyTest {

    private static final AvailabilityZone NEAR = new AvailabilityZone("near");
    private static final AvailabilityZone FAR = new AvailabilityZone("far");
    private static final ScalingTerms TERMS =
            new ScalingTerms(1, 5, Duration.ofSeconds(4), Map.of(NEAR, 1.0, FAR, 0.5));

    @Test
    void eachOpenRequestHasASlotAndZonesShareTheEndpoints() {
        assertThat(ScalingPolicy.desired(TERMS, 8, 33)).isEqualTo(Map.of(FAR, 3, NEAR, 2));
    }

    @Test
    void noZoneHasFewerOrMoreEndpointsThanItsBounds() {
        assertThat(ScalingPolicy.desired(TERMS, 8, 1000)).isEqualTo(Map.of(FAR, 5, NEAR, 5));
        assertThat(ScalingPolicy.desired(TERMS, 8, 0)).isEqualTo(Map.of(FAR, 1, NEAR, 1));
    }
}
