package io.yuccaswitch.core.driver;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.EntrySettings;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.LeaseSettings;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Envelopes in the format of the tests: a generation, a colon and a content. The content "newer" stands for a format
 * that this version cannot read.
 */
public final class Envelopes {

    private static final FleetConfiguration CONFIGURATION = new FleetConfiguration(
            "padma",
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            Optional.empty(),
            new EntrySettings(Duration.ofSeconds(10), Duration.ofMinutes(2), 1024),
            new MembershipSettings(Duration.ofMillis(250), Duration.ofSeconds(3), Duration.ofSeconds(10)),
            new LeaseSettings(Duration.ofSeconds(10), Duration.ofSeconds(2)));

    private Envelopes() {}

    public static Bytes of(long generation) {
        return of(generation, "content");
    }

    public static Bytes of(long generation, String content) {
        return Bytes.ofUtf8(generation + ":" + content);
    }

    public static ConfigurationEvent decode(Bytes envelope) {
        String[] parts = envelope.toUtf8().split(":", 2);
        if (parts.length < 2 || !parts[0].matches("\\d{1,18}")) {
            return new ConfigurationEvent.Rejected(OptionalLong.empty(), envelope, "malformed");
        }
        long generation = Long.parseLong(parts[0]);
        if (parts[1].equals("newer")) {
            return new ConfigurationEvent.Rejected(OptionalLong.of(generation), envelope, "not understood");
        }
        return new ConfigurationEvent.Decoded(generation, envelope, CONFIGURATION);
    }
}
