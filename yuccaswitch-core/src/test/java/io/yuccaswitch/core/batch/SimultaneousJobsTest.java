package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.account.AccountDirectory;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.quarantine.QuarantineSystem;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.RequestKind;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests jobs of several models that are submitted at the same time at different nodes, with engines that serve all
 * models.
 */
final class SimultaneousJobsTest {

    private static final PoolName POOL = new PoolName("sampler");
    private static final List<String> MODELS = List.of("a", "b", "c", "d");
    private static final int SLOTS = 8;

    private final TestSite site = new TestSite();
    private final PlainBatchCodec codec = new PlainBatchCodec();
    private final Map<EndpointName, Integer> itemsByEngine = new HashMap<>();
    private final List<TestNode> nodes = new ArrayList<>();

    @Test
    void noEngineGetsMoreItemsThanItHasSlots() {
        runJobs(List.of(8, 8, 8, 8), 16);
        assertThat(itemsByEngine.values()).allMatch(items -> items <= SLOTS);
        assertThat(itemsByEngine.values().stream().mapToInt(Integer::intValue).sum())
                .isEqualTo(4 * 16);
    }

    @Test
    void groupsOfSixteenAndOfEightShareOnePool() {
        runJobs(List.of(8, 16, 16, 8), 32);
        assertThat(itemsByEngine.values()).allMatch(items -> items <= SLOTS);
        assertThat(itemsByEngine.values().stream().mapToInt(Integer::intValue).sum())
                .isEqualTo(4 * 32);
    }

    private void runJobs(List<Integer> groupSizes, int items) {
        site.connect((_from, _to) -> false);
        site.platform().put(RouteConfigurationSystem.KIND, "main", "1");
        for (int engine = 0; engine < 16; engine++) {
            site.platform().put(EndpointRegistrySystem.KIND, String.format("engine-%02d", engine), "1");
        }
        for (String model : MODELS) {
            nodes.add(start("node-" + model));
        }
        site.run(Duration.ofMillis(500));
        site.everyStep(_site -> nodes.forEach(node -> node.take(BatchEffect.Run.class)
                .forEach(run -> itemsByEngine.merge(run.endpoint().name(), 1, Integer::sum))));
        for (int i = 0; i < MODELS.size(); i++) {
            BatchJob job = job(MODELS.get(i), items, groupSizes.get(i));
            nodes.get(i).accept(new BatchEvent.Submitted(1, job, site.now().plus(BatchSite.CALL_TIMEOUT)));
        }
        site.run(Duration.ofMillis(40));
    }

    private TestNode start(String name) {
        return site.start(name, (self, tokens) -> {
            SharedWatches watches = new SharedWatches(self);
            EndpointRegistrySystem registry =
                    new EndpointRegistrySystem(watches, tokens, SimultaneousJobsTest::endpoint);
            RouteConfigurationSystem routes =
                    new RouteConfigurationSystem(watches, tokens, SimultaneousJobsTest::configuration);
            QuarantineSystem quarantine = new QuarantineSystem(self, tokens, registry, () -> 1000);
            return List.of(
                    routes,
                    registry,
                    quarantine,
                    new CheckedBatchSystem(new BatchSystem(
                            self,
                            watches,
                            registry,
                            routes,
                            codec,
                            tokens,
                            quarantine,
                            SchedulingOptions.NONE,
                            () -> 1000)));
        });
    }

    private static BatchJob job(String model, int items, int groupSize) {
        List<BatchItem> list = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            String id = model + "-" + i;
            list.add(new BatchItem(id, "/x", Map.of(), Bytes.EMPTY, model + "-g" + i / groupSize, 1, Optional.empty()));
        }
        return new BatchJob(new BatchJobId("job-" + model), "site.example", "/x", model, 1, 1000, list);
    }

    private static Optional<RegisteredEndpoint> endpoint(StoredObject object) {
        Map<String, Long> versions = new HashMap<>();
        MODELS.forEach(model -> versions.put(model, 1L));
        return Optional.of(new RegisteredEndpoint(
                new EndpointName(POOL, object.key().name(), 1),
                object.key().name() + ":80",
                new AvailabilityZone("zone-a"),
                SLOTS,
                false,
                versions));
    }

    private static Optional<RouteConfiguration> configuration(StoredObject _object) {
        Route route = new Route(
                "batch",
                "site.example",
                "/x",
                RequestKind.BATCH,
                List.of(new Route.PoolShare(POOL, 1)),
                Duration.ofSeconds(10),
                Duration.ofMillis(400),
                3,
                0,
                false,
                true,
                Optional.of(new Route.BatchTerms(Duration.ofSeconds(8), Duration.ofSeconds(40), false)),
                false);
        return Optional.of(new RouteConfiguration(
                1,
                List.of(route),
                Map.of(POOL, Set.copyOf(MODELS)),
                new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15)),
                AccountDirectory.NONE,
                Map.of()));
    }
}
