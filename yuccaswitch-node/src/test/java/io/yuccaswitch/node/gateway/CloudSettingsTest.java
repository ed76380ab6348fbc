package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the duties and the usage window in the settings of the cloud. */
final class CloudSettingsTest {

    @Test
    void ignoresUnsupportedDuties() {
        CloudSettings settings = new CloudSettings("127.0.0.1:1", List.of("usage", "another"), 5);
        assertThat(settings.includes(CloudSettings.Duty.USAGE)).isTrue();
        assertThat(settings.includes(CloudSettings.Duty.SCALE)).isFalse();
    }

    @Test
    void acceptsWindowsWithFractionsOfASecond() {
        assertThat(new CloudSettings("127.0.0.1:1", List.of(), 2.5).usageWindow())
                .isEqualTo(Duration.ofMillis(2500));
    }
}
