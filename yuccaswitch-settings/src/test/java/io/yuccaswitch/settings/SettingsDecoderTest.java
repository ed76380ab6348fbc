package io.yuccaswitch.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import io.yuccaswitch.core.configuration.FencingSupport;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.configuration.RoutingPolicyKind;
import io.yuccaswitch.core.configuration.Setting;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class SettingsDecoderTest {

    private static final String SMALL_FLEET =
            """
            {
              // A comment, and trailing commas.
              "site": "padma",
              "availabilityZones": {"salt-lake": {}, "garia": {"region": "kolkata"},},
              "pools": {
                "matcher-lm": {
                  "kind": "engine",
                  "endpoints": {"engine-1": {"address": "127.0.0.1:9001", "availabilityZone": "salt-lake"}},
                  "fencing": "checked",
                  "routing": {"policy": "iteration-time-estimate", "loadReportInterval": "250ms"},
                },
              },
              "callers": {"desk": {"priority": "urgent"}},
            }
            """;

    record NodeSettings(
            @Setting(description = "The name.") NodeName name,
            @Setting(description = "The addresses.") List<String> addresses,
            @Setting(description = "The folder.") Optional<String> dataFolder,
            @Setting(description = "The port.", defaultValue = "0", minimum = "0", maximum = "65535") int port,
            @Setting(description = "The size.", defaultValue = "9000000000", unit = "bytes") long size,
            @Setting(description = "The share.", defaultValue = "0.25", minimum = "0", maximum = "1") double share) {}

    @Test
    void aFleetIsDecodedWithItsDefaults() {
        FleetConfiguration fleet =
                decode(SMALL_FLEET, FleetConfiguration.class).value().orElseThrow();
        PoolSettings pool = fleet.pools().get(new PoolName("matcher-lm"));
        assertThat(pool.fencing()).isEqualTo(FencingSupport.CHECKED);
        assertThat(pool.routing().policy()).isEqualTo(RoutingPolicyKind.ITERATION_TIME_ESTIMATE);
        assertThat(pool.routing().loadReportInterval()).isEqualTo(Duration.ofMillis(250));
        assertThat(pool.routing().subsetSize()).isEqualTo(16);
        assertThat(pool.retry().hedgeAfter()).isEmpty();
        assertThat(pool.endpoints().get("engine-1").accelerators()).isEqualTo(1);
        assertThat(fleet.availabilityZones())
                .containsOnlyKeys(new AvailabilityZone("salt-lake"), new AvailabilityZone("garia"));
        assertThat(fleet.callers().get(new CallerName("desk")).priority()).isEqualTo(PriorityClass.URGENT);
        assertThat(fleet.weightStore()).isEmpty();
        assertThat(fleet.lease().duration()).isEqualTo(Duration.ofSeconds(10));
    }

    @Test
    void anySettingsRecordIsDecoded() {
        SettingsResult<NodeSettings> result = decode(
                "{\"name\": \"vm-1\", \"addresses\": [\"a:1\", \"b:2\"], \"dataFolder\": \"/data\", \"port\": 7001.0}",
                NodeSettings.class);
        assertThat(result.value())
                .contains(new NodeSettings(
                        new NodeName("vm-1"), List.of("a:1", "b:2"), Optional.of("/data"), 7001, 9_000_000_000L, 0.25));
    }

    @Test
    void allErrorsAreReportedAtOnceWithTheirFilesAndLines() {
        SettingsFolder folder = SettingsFolder.ofTexts(
                "fleet",
                Map.of(
                        "10-base.json",
                        SMALL_FLEET,
                        "20-errors.json",
                        """
                        {
                          "sight": "x",
                          "pools": {
                            "matcher-lm": {
                              "settlesRequests": "yes",
                              "limits": {"queueLength": 70000},
                              "fencing": "cheked",
                              "endpoints": {
                                "engine-1": {"availabilityZone": "gariya"},
                                "engine-2": {"availabilityZone": "garia"}
                              },
                              "retry": {"hedgeAfter": "5 s", "maximumAttempts": 2.5}
                            }
                          },
                          "lease": {"duration": "1ms"},
                          "site": "twice", "site": "twice"
                        }
                        """));
        assertThat(folder.decode(FleetConfiguration.class).errors())
                .extracting(SettingsError::code, SettingsError::line, SettingsError::key)
                .containsExactly(
                        tuple(SettingsErrorCode.UNKNOWN_KEY, 2, "sight"),
                        tuple(SettingsErrorCode.WRONG_TYPE, 5, "pools.matcher-lm.settlesRequests"),
                        tuple(SettingsErrorCode.OUT_OF_BOUNDS, 6, "pools.matcher-lm.limits.queueLength"),
                        tuple(SettingsErrorCode.WRONG_TYPE, 7, "pools.matcher-lm.fencing"),
                        tuple(
                                SettingsErrorCode.DANGLING_REFERENCE,
                                9,
                                "pools.matcher-lm.endpoints.engine-1.availabilityZone"),
                        tuple(SettingsErrorCode.MISSING, 10, "pools.matcher-lm.endpoints.engine-2.address"),
                        tuple(SettingsErrorCode.WRONG_TYPE, 12, "pools.matcher-lm.retry.hedgeAfter"),
                        tuple(SettingsErrorCode.WRONG_TYPE, 12, "pools.matcher-lm.retry.maximumAttempts"),
                        tuple(SettingsErrorCode.OUT_OF_BOUNDS, 15, "lease.duration"),
                        tuple(SettingsErrorCode.DUPLICATE_KEY, 16, "site"));
    }

    @Test
    void anErrorNamesItsFileAndTheNearestKey() {
        SettingsResult<FleetConfiguration> result = decode("{\"site\": \"x\", \"pols\": {}}", FleetConfiguration.class);
        assertThat(result.errors())
                .singleElement()
                .hasToString("settings.json:1: pols: [unknown-key] There is no such key. Did you mean \"pools\"?");
    }

    @Test
    void missingKeysAndDanglingReferencesAreNotReportedIfAFileCannotBeParsed() {
        SettingsFolder folder = SettingsFolder.ofTexts(
                "fleet",
                Map.of(
                        "10.json", "{\n\"site\" \"padma\"\n}",
                        "20.json", "{\"trainers\": {\"t\": {\"pool\": \"p\"}}, \"lease\": {\"durations\": \"1s\"}}"));
        assertThat(folder.decode(FleetConfiguration.class).errors())
                .extracting(SettingsError::code, SettingsError::file, SettingsError::line)
                .containsExactly(
                        tuple(SettingsErrorCode.SYNTAX, "10.json", 2),
                        tuple(SettingsErrorCode.UNKNOWN_KEY, "20.json", 1));
    }

    @Test
    void aMissingKeyThatANullRemovedIsReportedAtTheNull() {
        SettingsFolder folder = SettingsFolder.ofTexts(
                "fleet", Map.of("10.json", "{\"site\": \"padma\"}", "20.json", "{\n\n\"site\": null}"));
        assertThat(folder.decode(FleetConfiguration.class).errors())
                .singleElement()
                .satisfies(error -> {
                    assertThat(error.code()).isEqualTo(SettingsErrorCode.MISSING);
                    assertThat(error.file()).isEqualTo("20.json");
                    assertThat(error.line()).isEqualTo(3);
                });
    }

    @Test
    void aNullForAMisspeltKeyIsAnError() {
        SettingsResult<FleetConfiguration> result =
                decode("{\"site\": \"x\", \"lease\": {\"safetyMargn\": null}}", FleetConfiguration.class);
        assertThat(result.errors()).singleElement().satisfies(error -> assertThat(error.code())
                .isEqualTo(SettingsErrorCode.UNKNOWN_KEY));
    }

    @Test
    void numbersOutOfEveryRangeAreRejectedQuickly() {
        SettingsResult<NodeSettings> result = decode(
                "{\"name\": \"vm-1\", \"port\": 1e999999999, \"size\": 1e-999999999, \"share\": -1e99999}",
                NodeSettings.class);
        assertThat(result.errors())
                .extracting(SettingsError::code, SettingsError::key)
                .containsExactlyInAnyOrder(
                        tuple(SettingsErrorCode.OUT_OF_BOUNDS, "port"),
                        tuple(SettingsErrorCode.WRONG_TYPE, "size"),
                        tuple(SettingsErrorCode.OUT_OF_BOUNDS, "share"));
    }

    @Test
    void invalidNamesAreAlsoRejectedAsKeys() {
        SettingsResult<FleetConfiguration> result =
                decode("{\"site\": \"x\", \"availabilityZones\": {\"a zone\": {}}}", FleetConfiguration.class);
        assertThat(result.errors())
                .extracting(SettingsError::code, SettingsError::key)
                .containsExactly(tuple(SettingsErrorCode.WRONG_TYPE, "availabilityZones.a zone"));
    }

    private static <T extends Record> SettingsResult<T> decode(String text, Class<T> type) {
        return SettingsFolder.ofTexts("folder", Map.of("settings.json", text)).decode(type);
    }
}
