package io.yuccaswitch.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.ThrottledSystem;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against nodes that repeatedly stop sending requests for up to half a second while the platform answers nobody.
 * This happened because a failed call marked the platform as unreachable for 2.5 s, but the next call could come later
 * than that, as calls for changes and confirmation calls shared one backoff.
 */
final class PlatformOutageTest {

    private static final Duration IDLE_TICK_INTERVAL = Duration.ofMillis(100);

    private final TestSite site = new TestSite();
    private final Map<String, EndpointRegistrySystem> registries = new TreeMap<>();

    @BeforeEach
    void startNodes() {
        site.connect((_from, _to) -> false);
        for (int i = 0; i < 9; i++) {
            site.start("node-" + i, this::systems);
        }
        site.platform().put(EndpointRegistrySystem.KIND, "one", "ledger 10.0.0.1:80 ready");
        site.run(Duration.ofSeconds(3));
    }

    /** Requests must not be held, as waiting cannot yield newer state. */
    @ParameterizedTest
    @ValueSource(ints = {0, 100, 300, 600, 900, 1200})
    void endpointsStayInUseThroughoutAnOutageHoweverLateCallsFail(int failureMillis) {
        site.platform().disconnectWhere(_node -> true);
        site.platform().delayAnswers(_node -> Duration.ofMillis(failureMillis));
        Map<String, Integer> heldMillis = new TreeMap<>();
        for (int millis = 0; millis < 20_000; millis += 10) {
            site.run(Duration.ofMillis(10));
            registries.forEach((node, registry) -> {
                if (!registry.allowsDispatch(site.now())) {
                    heldMillis.merge(node, 10, Integer::sum);
                }
            });
        }
        assertThat(heldMillis).as("time for which nodes held requests").isEmpty();
    }

    private List<DecisionSystem> systems(TestNode node, PlatformTokens tokens) {
        EndpointRegistrySystem registry =
                new EndpointRegistrySystem(new SharedWatches(node), tokens, EndpointRegistrySystemTest::decode);
        registries.put(node.name(), registry);
        return List.of(new ThrottledSystem(List.of(registry), _event -> false, () -> IDLE_TICK_INTERVAL));
    }
}
