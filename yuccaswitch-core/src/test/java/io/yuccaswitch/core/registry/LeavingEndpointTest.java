package io.yuccaswitch.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.ThrottledSystem;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.site.Faults;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.List;
import java.util.Map;
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
 * Guards against requests to an endpoint more than two seconds after the platform acknowledged that it leaves. This
 * happened although the platform answered the sending node all the time: another node, which the platform rejected for
 * nine seconds, had reported its failures, so the sending node treated the removed entry as possibly lapsed in an
 * outage, and retained the endpoint for another 1.9 s. Each delay was within its own bound, but nothing bounded their
 * sum.
 */
final class LeavingEndpointTest {

    private static final PoolName POOL = new PoolName("ledger");
    private static final Duration IDLE_TICK_INTERVAL = Duration.ofMillis(100);
    private static final int NODE_COUNT = 9;

    private final TestSite site = new TestSite();
    private final Map<String, TestNode> nodes = new TreeMap<>();
    private final Map<String, EndpointRegistrySystem> registries = new TreeMap<>();
    private Set<String> watchers;

    @BeforeEach
    void startNodes() {
        site.connect((_from, _to) -> false);
        for (int i = 0; i < NODE_COUNT; i++) {
            String name = "node-" + i;
            nodes.put(name, site.start(name, this::systems));
        }
        put("one", "ledger 10.0.0.1:80 ready");
        put("two", "ledger 10.0.0.2:80 ready");
        site.run(Duration.ofSeconds(3));
        watchers = RendezvousRanking.pair("watch", nodes.get("node-0").working()).stream()
                .map(member -> member.identity().name().value())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void endpointIsGoneInTimeAfterItsEntryIsRemovedWhileThePlatformRejectsAnotherNode() {
        String rejected = watchers.iterator().next();
        site.platform().failWhere((node, _call) -> node.equals(rejected));
        site.run(Duration.ofSeconds(3));
        site.platform().remove(EndpointRegistrySystem.KIND, "one");
        assertNoLongerChosenInTime(Set.of(rejected));
    }

    @Test
    void leavingEndpointIsDetectedInTimeWhileThePlatformRejectsAnotherNode() {
        String rejected = watchers.iterator().next();
        site.platform().failWhere((node, _call) -> node.equals(rejected));
        site.run(Duration.ofSeconds(3));
        put("one", "ledger 10.0.0.1:80 draining");
        assertNoLongerChosenInTime(Set.of(rejected));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19})
    void leavingEndpointIsDetectedInTimeWhileTheWatchersFailOneAfterTheOther(long group) {
        for (long seed = group * 20; seed < group * 20 + 20; seed++) {
            site.run(Duration.ofSeconds(4));
            put("one", "ledger 10.0.0.1:80 ready");
            site.run(Duration.ofSeconds(1));
            Random random = new Random(seed);
            Faults faults = Faults.random(watchers, site.now().plus(Duration.ofMillis(random.nextInt(1000))), random);
            faults.applyTo(site);
            site.run(Duration.ofMillis(1000 + random.nextInt(1500)));
            if (seed % 2 == 0) {
                put("one", "ledger 10.0.0.1:80 draining");
            } else {
                site.platform().remove(EndpointRegistrySystem.KIND, "one");
            }
            assertNoLongerChosenInTime(watchers, "seed " + seed + " " + faults);
            Faults.NONE.applyTo(site);
        }
    }

    @ParameterizedTest
    @ValueSource(
            ints = {0, 70, 140, 210, 280, 350, 420, 490, 560, 630, 700, 770, 840, 910, 980, 1050, 1120, 1190, 1260, 1330
            })
    void leavingEndpointIsDetectedInTimeWhileTheWatchersLoseThePlatformAndThenFreeze(int phase) {
        for (int step = 0; step < 42; step++) {
            int contact = 950 + step / 7 * 30;
            site.run(Duration.ofSeconds(4));
            put("one", "ledger 10.0.0.1:80 ready");
            site.run(Duration.ofMillis(1000 + phase + step % 7 * 10));
            Faults.disconnectedThenFrozen(watchers, site.now(), Duration.ofMillis(contact))
                    .applyTo(site);
            put("one", "ledger 10.0.0.1:80 draining");
            assertNoLongerChosenInTime(
                    watchers, "platform lost at phase " + (phase + step % 7 * 10) + ", frozen after " + contact);
            Faults.NONE.applyTo(site);
        }
    }

    /**
     * Asserts that no node other than the exempt ones chooses the endpoint after the maximum age for requests, nor
     * later.
     */
    private void assertNoLongerChosenInTime(Set<String> exempt) {
        assertNoLongerChosenInTime(exempt, "");
    }

    private void assertNoLongerChosenInTime(Set<String> exempt, String description) {
        MonotonicTime acknowledged = site.now();
        site.run(RegistryFreshness.MAXIMUM_DISPATCH_AGE);
        for (int millis = 0; millis < 2500; millis += 10) {
            for (Map.Entry<String, EndpointRegistrySystem> registry : registries.entrySet()) {
                if (!exempt.contains(registry.getKey())) {
                    assertThat(chosen(registry.getValue()))
                            .as(
                                    "endpoints that %s chooses %s after the acknowledgement %s",
                                    registry.getKey(), site.now().since(acknowledged), description)
                            .doesNotContain("one");
                }
            }
            site.run(Duration.ofMillis(10));
        }
    }

    private List<DecisionSystem> systems(TestNode node, PlatformTokens tokens) {
        EndpointRegistrySystem registry =
                new EndpointRegistrySystem(new SharedWatches(node), tokens, EndpointRegistrySystemTest::decode);
        registries.put(node.name(), registry);
        return List.of(new ThrottledSystem(List.of(registry), _event -> false, () -> IDLE_TICK_INTERVAL));
    }

    private static List<String> chosen(EndpointRegistrySystem registry) {
        return registry.working(POOL).stream()
                .map(endpoint -> endpoint.name().value())
                .toList();
    }

    private void put(String name, String value) {
        site.platform().put(EndpointRegistrySystem.KIND, name, value);
    }
}
