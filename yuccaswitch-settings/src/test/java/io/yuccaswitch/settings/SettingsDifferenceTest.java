package io.yuccaswitch.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class SettingsDifferenceTest {

    @Test
    void eachDifferingValueIsShownWithItsPathButTokensAreMasked() {
        ObjectValue before = parse(
                "{\"a\": 1, \"same\": 1.0, \"list\": [1, 2], \"zones\": {\"x\": {}}, \"desk\": {\"token\": \"old\"}}");
        ObjectValue after = parse(
                "{\"same\": 1, \"list\": [1], \"zones\": {\"x\": {}, \"y.z\": {}}, \"desk\": {\"token\": \"new\"}}");
        assertThat(SettingsDifference.between(before, after))
                .extracting(SettingsDifference::toString)
                .containsExactly(
                        "- a = 1",
                        "~ desk.token = (secret) -> (secret)",
                        "~ list = [1,2] -> [1]",
                        "+ zones.\"y.z\" = {}");
    }

    private static ObjectValue parse(String text) {
        return SettingsFolder.ofTexts("folder", Map.of("file", text)).content();
    }
}
