package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.CallerSettings;
import io.yuccaswitch.core.configuration.EndpointSettings;
import io.yuccaswitch.core.configuration.EntrySettings;
import io.yuccaswitch.core.configuration.FencingSupport;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.LeaseSettings;
import io.yuccaswitch.core.configuration.LimitSettings;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.configuration.RetrySettings;
import io.yuccaswitch.core.configuration.RoutingPolicyKind;
import io.yuccaswitch.core.configuration.RoutingSettings;
import io.yuccaswitch.core.configuration.WeightSettings;
import io.yuccaswitch.core.configuration.ZoneSettings;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.PoolName;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/** Configurations of a small test site. */
final class TestConfigurations {

    static final PoolName LEDGER = new PoolName("ledger-app");
    static final CallerName CALLER = new CallerName("desk");

    static final LimitSettings LIMITS = new LimitSettings(8, 64, 4, Duration.ofSeconds(60));
    static final RoutingSettings ROUTING = new RoutingSettings(
            RoutingPolicyKind.POWER_OF_TWO_CHOICES, 16, Duration.ofMillis(500), Duration.ofSeconds(5), 0.5);
    static final RetrySettings RETRY = new RetrySettings(
            0.1, 3, Duration.ofMillis(10), Duration.ofMillis(100), Optional.empty(), 5, Duration.ofSeconds(5), 0.5);

    private TestConfigurations() {}

    static PoolSettings pool(int endpoints, boolean settles, LimitSettings limits, RetrySettings retry) {
        return pool(PoolKind.SERVICE, endpoints, settles, ROUTING, limits, retry);
    }

    static PoolSettings pool(
            PoolKind kind,
            int endpoints,
            boolean settles,
            RoutingSettings routing,
            LimitSettings limits,
            RetrySettings retry) {
        Map<String, EndpointSettings> settings = new LinkedHashMap<>();
        for (int index = 0; index < endpoints; index++) {
            settings.put(
                    "e" + index, new EndpointSettings("h" + index + ":1", new AvailabilityZone("z" + index % 3), 1));
        }
        return new PoolSettings(
                kind,
                settings,
                FencingSupport.IGNORED,
                settles,
                routing,
                limits,
                retry,
                new WeightSettings(0.5, Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(1)));
    }

    static FleetConfiguration site(PoolSettings pool) {
        return new FleetConfiguration(
                "site",
                Map.of(new AvailabilityZone("z0"), new ZoneSettings("local")),
                Map.of(LEDGER, pool),
                Map.of(CALLER, new CallerSettings(Optional.empty(), 1, PriorityClass.URGENT)),
                Map.of(),
                Optional.empty(),
                new EntrySettings(Duration.ofSeconds(10), Duration.ofMinutes(2), 4096),
                new MembershipSettings(Duration.ofMillis(250), Duration.ofSeconds(3), Duration.ofSeconds(10)),
                new LeaseSettings(Duration.ofSeconds(10), Duration.ofSeconds(2)));
    }

    static List<String> endpointNames(int count) {
        return IntStream.range(0, count).mapToObj(index -> "e" + index).toList();
    }
}
