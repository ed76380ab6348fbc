package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PlatformClientSettingsTest {

    @Test
    void anAddressWithoutASchemeIsParsedAsHostAndPort() {
        assertThat(PlatformClientSettings.of("10.0.0.5:8080").address()).isEqualTo("http://10.0.0.5:8080");
        assertThat(PlatformClientSettings.of("https://platform:8443").address()).isEqualTo("https://platform:8443");
    }
}
