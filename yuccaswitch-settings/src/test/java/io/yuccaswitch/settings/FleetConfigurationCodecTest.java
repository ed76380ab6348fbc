package io.yuccaswitch.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import io.yuccaswitch.core.value.Bytes;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FleetConfigurationCodecTest {

    private static final String FLEET =
            """
            {
              "site": "padma", "availabilityZones": {"garia": {}},
              "pools": {
                "lm": {"kind": "engine", "endpoints": {"e-1": {"address": "10.0.0.1:9000", "availabilityZone": "garia"}}},
                "app": {"kind": "service", "endpoints": {"a-1": {"address": "10.0.0.2:9000", "availabilityZone": "garia"}}}
              },
              "callers": {"desk": {"token": "secret-1"}},
              "trainers": {"matcher": {"pool": "lm", "model": "matcher", "scorer": "app"}},
              "weightStore": {"address": "10.0.0.3:9000"}
            }
            """;

    @Test
    void anEncodedFolderDecodesToTheSameConfigurationAsTheFolder() {
        SettingsFolder folder = folder("{\"lease\": {\"duration\": \"20s\"}}");
        Bytes content = FleetConfigurationCodec.encode(folder);
        assertThat(FleetConfigurationCodec.decode(content).value())
                .isPresent()
                .isEqualTo(FleetConfigurationCodec.decode(folder).value());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "{'lease': {'duration': '2s'}}; CONTRADICTION; lease.safetyMargin",
                "{'membership': {'suspicionTime': '250ms'}}; CONTRADICTION; membership.suspicionTime",
                "{'pools': {'lm': {'endpoints': {'e-1': null}}}}; MISSING; pools.lm.endpoints",
                "{'pools': {'lm': {'endpoints': {'e-1': {'address': '10.0.0.2:9000'}}}}}; DUPLICATE_VALUE; pools.lm.endpoints.e-1.address",
                "{'pools': {'lm': {'endpoints': {'e-1': {'address': '10.0.0.2'}}}}}; WRONG_TYPE; pools.lm.endpoints.e-1.address",
                "{'weightStore': {'address': ':'}}; WRONG_TYPE; weightStore.address",
                "{'pools': {'lm': {'limits': {'initialConcurrency': 65}}}}; CONTRADICTION; pools.lm.limits.initialConcurrency",
                "{'pools': {'lm': {'routing': {'loadReportInterval': '5s'}}}}; CONTRADICTION; pools.lm.routing.loadReportInterval",
                "{'pools': {'lm': {'retry': {'initialBackoff': '2s'}}}}; CONTRADICTION; pools.lm.retry.initialBackoff",
                "{'pools': {'lm': {'retry': {'hedgeAfter': '60s'}}}}; CONTRADICTION; pools.lm.retry.hedgeAfter",
                "{'trainers': {'matcher': {'pool': 'app'}}}; CONTRADICTION; trainers.matcher.pool",
                "{'trainers': {'matcher': {'scorer': 'lm'}}}; CONTRADICTION; trainers.matcher.scorer",
                "{'trainers': {'matcher': {'token': 'secret-1'}}}; DUPLICATE_VALUE; trainers.matcher.token",
            })
    void contradictoryValuesAreRejected(String override, SettingsErrorCode code, String key) {
        SettingsFolder folder = folder(override.replace('\'', '"'));
        assertThat(FleetConfigurationCodec.decode(folder).errors())
                .extracting(SettingsError::code, SettingsError::key)
                .containsExactly(tuple(code, key));
    }

    @Test
    void anErrorAboutATokenDoesNotShowIt() {
        SettingsFolder folder = folder("{\"trainers\": {\"matcher\": {\"token\": \"secret-1\"}}}");
        assertThat(FleetConfigurationCodec.decode(folder).errors().toString()).doesNotContain("secret-1");
    }

    @Test
    void contradictionsAreReportedWithOtherErrorsButNotForInvalidValues() {
        SettingsFolder folder = folder(
                """
                {
                  "lease": {"duration": "1s"},
                  "pools": {"lm": {"limits": {"maximumConcurrency": "few", "initialConcurrency": 100}}}
                }
                """);
        assertThat(FleetConfigurationCodec.decode(folder).errors())
                .extracting(SettingsError::code, SettingsError::key)
                .containsExactly(
                        tuple(SettingsErrorCode.CONTRADICTION, "lease.safetyMargin"),
                        tuple(SettingsErrorCode.WRONG_TYPE, "pools.lm.limits.maximumConcurrency"));
    }

    @Test
    void aDecodedDocumentEqualsTheEncodedOne() {
        ConfigurationDocument document = new ConfigurationDocument(
                7,
                "change-1",
                "rina",
                Instant.parse("2026-01-02T03:04:05Z"),
                FleetConfigurationCodec.encode(folder("{}")));
        assertThat(ConfigurationDocument.decode(document.encode())).contains(document);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "not json",
                "{}",
                "{'generation':0,'changeId':'c','author':'a','acceptedAt':'2026-01-02T03:04:05Z','content':{}}",
                "{'generation':1e99,'changeId':'c','author':'a','acceptedAt':'2026-01-02T03:04:05Z','content':{}}",
                "{'generation':1,'changeId':'c','author':'a','acceptedAt':'yesterday','content':{}}",
                "{'generation':1,'changeId':'c','author':'a','acceptedAt':'2026-01-02T03:04:05Z','content':[]}",
            })
    void aMalformedDocumentIsRejected(String text) {
        assertThat(ConfigurationDocument.decode(Bytes.ofUtf8(text.replace('\'', '"'))))
                .isEmpty();
    }

    private static SettingsFolder folder(String override) {
        return SettingsFolder.ofTexts("fleet", Map.of("10-base.json", FLEET, "20-override.json", override));
    }
}
