package io.yuccaswitch.core.sample;

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
import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.configuration.WeightSettings;
import io.yuccaswitch.core.configuration.ZoneSettings;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Configurations and groups for tests. */
final class SampleFixtures {

    static final PoolName ENGINES = new PoolName("engines");
    static final PoolName SCORERS = new PoolName("scorers");

    private SampleFixtures() {}

    static TrainerSettings trainer(int bound, int weight, Optional<PoolName> scorer, boolean repeatable, int groups) {
        return new TrainerSettings(ENGINES, "model", Optional.empty(), bound, weight, scorer, repeatable, groups);
    }

    static FleetConfiguration configuration(
            int zones, int engines, int capacity, Map<String, TrainerSettings> trainers) {
        Map<AvailabilityZone, ZoneSettings> zoneSettings = new HashMap<>();
        for (int zone = 1; zone <= zones; zone++) {
            zoneSettings.put(new AvailabilityZone("zone-" + zone), new ZoneSettings("local"));
        }
        Map<String, EndpointSettings> endpoints = new HashMap<>();
        for (int engine = 1; engine <= engines; engine++) {
            endpoints.put(
                    "engine-" + engine, new EndpointSettings("127.0.0.1:" + engine, new AvailabilityZone("zone-1"), 1));
        }
        Map<TrainerName, TrainerSettings> trainerSettings = new HashMap<>();
        trainers.forEach((name, settings) -> trainerSettings.put(new TrainerName(name), settings));
        return new FleetConfiguration(
                "test",
                zoneSettings,
                Map.of(
                        ENGINES,
                        pool(PoolKind.ENGINE, endpoints, capacity),
                        SCORERS,
                        pool(PoolKind.SERVICE, Map.of(), 8)),
                Map.of(),
                trainerSettings,
                Optional.empty(),
                new EntrySettings(Duration.ofSeconds(10), Duration.ofMinutes(2), 1 << 22),
                new MembershipSettings(Duration.ofMillis(250), Duration.ofSeconds(3), Duration.ofSeconds(10)),
                new LeaseSettings(Duration.ofSeconds(10), Duration.ofSeconds(2)));
    }

    static List<GroupSpecification> groups(String trainer, long step, int count, int size) {
        List<GroupSpecification> groups = new ArrayList<>();
        for (int group = 0; group < count; group++) {
            GroupKey key = new GroupKey(new TrainerName(trainer), step, group);
            groups.add(new GroupSpecification(key, "prompt " + group, size, 64, PriorityClass.NORMAL));
        }
        return groups;
    }

    static SampleFleet fleet(Map<String, TrainerSettings> trainers) {
        SampleFleet fleet = new SampleFleet(configuration(3, 4, 8, trainers));
        for (int node = 1; node <= 6; node++) {
            fleet.start("vm-" + node, "zone-" + (node % 3 + 1));
        }
        fleet.step();
        return fleet;
    }

    static SampleFleet fleet() {
        return fleet(Map.of("a", trainer(1, 1, Optional.empty(), true, 4096)));
    }

    private static PoolSettings pool(PoolKind kind, Map<String, EndpointSettings> endpoints, int capacity) {
        return new PoolSettings(
                kind,
                endpoints,
                FencingSupport.IGNORED,
                false,
                new RoutingSettings(
                        RoutingPolicyKind.POWER_OF_TWO_CHOICES, 16, Duration.ofMillis(500), Duration.ofSeconds(5), 0.5),
                new LimitSettings(capacity, 64, 256, Duration.ofSeconds(60)),
                new RetrySettings(
                        0.1,
                        3,
                        Duration.ofMillis(25),
                        Duration.ofSeconds(1),
                        Optional.empty(),
                        5,
                        Duration.ofSeconds(5),
                        0.5),
                new WeightSettings(0.5, Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(1)));
    }
}
