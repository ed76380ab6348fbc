package io.yuccaswitch.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.account.AccountDirectory;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.ThrottledSystem;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.site.Faults;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against configuration changes that take more than two seconds to become active. Followers trusted a watcher
 * until the loss of its platform connection could be detected, then waited for its updates until a timeout, and only
 * then switched to the other watcher. Each of these delays has its own bound, but their sum exceeded two seconds, also
 * for removed routes and revoked keys.
 */
final class ConfigurationInTimeTest {

    /** The maximum time until a configuration is active at each node, while the platform answers that node. */
    private static final Duration MAXIMUM_ACTIVATION_DELAY = Duration.ofMillis(1900);

    private static final Duration IDLE_INTERVAL = Duration.ofMillis(100);

    private final TestSite site = new TestSite();
    private final Map<String, RouteConfigurationSystem> systems = new TreeMap<>();
    private Set<String> watchers;
    private long version;

    @BeforeEach
    void startNodes() {
        site.connect((_from, _to) -> false);
        publishVersion();
        TestNode anyNode = site.start("node-0", this::systems);
        for (int i = 1; i < 9; i++) {
            site.start("node-" + i, this::systems);
        }
        site.run(Duration.ofSeconds(3));
        watchers = RendezvousRanking.pair("watch", anyNode.working()).stream()
                .map(member -> member.identity().name().value())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 70, 140, 210, 280, 350, 420, 490, 560, 630, 700, 770})
    void configurationIsActiveInTimeWhenTheWatchersLoseThePlatformAndAreThenSuspended(int phase) {
        for (int step = 0; step < 28; step++) {
            site.run(Duration.ofMillis(5000 + phase + step % 7 * 10));
            int contactMillis = 450 + step / 7 * 200;
            Faults.disconnectedThenFrozen(watchers, site.now(), Duration.ofMillis(contactMillis))
                    .applyTo(site);
            publishVersion();
            assertActiveInTime(
                    "platform lost at phase " + (phase + step % 7 * 10) + ", suspended after " + contactMillis);
            Faults.NONE.applyTo(site);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
    void configurationIsActiveInTimeWhenTheWatchersFailOneAfterTheOther(long group) {
        for (long seed = group * 20; seed < group * 20 + 20; seed++) {
            site.run(Duration.ofSeconds(5));
            Random random = new Random(seed);
            Faults faults = Faults.random(watchers, site.now().plus(Duration.ofMillis(random.nextInt(1000))), random);
            faults.applyTo(site);
            site.run(Duration.ofMillis(1000 + random.nextInt(1500)));
            publishVersion();
            assertActiveInTime("seed " + seed + " " + faults);
            Faults.NONE.applyTo(site);
        }
    }

    @Test
    void onlyWatchersQueryThePlatformWhileConfigurationsChange() {
        Set<String> callers = new TreeSet<>();
        site.platform().failWhere((node, _call) -> {
            callers.add(node);
            return false;
        });
        for (int i = 0; i < 20; i++) {
            publishVersion();
            site.run(Duration.ofMillis(80 + 90 * i));
        }
        assertThat(callers).isSubsetOf(watchers);
    }

    private void assertActiveInTime(String description) {
        MonotonicTime acknowledged = site.now();
        site.run(MAXIMUM_ACTIVATION_DELAY);
        systems.forEach((name, system) -> {
            if (!watchers.contains(name)) {
                assertThat(system.active().orElseThrow().version())
                        .as(
                                "at %s %s after the acknowledgement, %s",
                                name, site.now().since(acknowledged), description)
                        .isEqualTo(version);
            }
        });
    }

    private void publishVersion() {
        version++;
        site.platform().put(RouteConfigurationSystem.KIND, "main", Long.toString(version));
    }

    private List<DecisionSystem> systems(TestNode node, PlatformTokens tokens) {
        SharedWatches watches = new SharedWatches(node);
        EndpointRegistrySystem registry = new EndpointRegistrySystem(watches, tokens, _object -> Optional.empty());
        RouteConfigurationSystem routes =
                new RouteConfigurationSystem(watches, tokens, ConfigurationInTimeTest::decode);
        systems.put(node.name(), routes);
        return List.of(new ThrottledSystem(List.of(routes, registry), _event -> false, () -> IDLE_INTERVAL));
    }

    private static Optional<RouteConfiguration> decode(StoredObject object) {
        return Optional.of(new RouteConfiguration(
                Long.parseLong(object.value().toUtf8()),
                List.of(),
                Map.of(),
                new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15)),
                AccountDirectory.of(List.of()),
                Map.of()));
    }
}
