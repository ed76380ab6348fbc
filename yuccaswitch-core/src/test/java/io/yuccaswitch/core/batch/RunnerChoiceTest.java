package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.account.AccountDirectory;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which nodes run the jobs of several models. */
final class RunnerChoiceTest {

    private final TestSite site = new TestSite();
    private final List<RunnerChoice> choices = new ArrayList<>();

    @Test
    void eachModelHasItsOwnStrongNodeAndAllNodesAgree() {
        site.platform().put(RouteConfigurationSystem.KIND, "main", "1");
        for (int i = 0; i < 5; i++) {
            start("strong-" + i, 150);
        }
        for (int i = 0; i < 20; i++) {
            start("weak-" + i, 36);
        }
        site.run(Duration.ofMillis(500));
        Set<NodeName> used = new HashSet<>();
        for (String model : List.of("a", "b", "c", "d")) {
            Set<NodeName> chosen = new HashSet<>();
            choices.forEach(choice -> chosen.add(choice.choose(job(model))));
            assertThat(chosen).hasSize(1).allMatch(name -> name.value().startsWith("strong"));
            used.addAll(chosen);
        }
        assertThat(used).hasSize(4);
    }

    private void start(String name, int capacity) {
        site.capacity(name, capacity);
        site.start(name, (self, tokens) -> {
            RouteConfigurationSystem routes =
                    new RouteConfigurationSystem(new SharedWatches(self), tokens, RunnerChoiceTest::configuration);
            choices.add(new RunnerChoice(self, routes));
            return List.of(routes);
        });
    }

    private static BatchJob job(String model) {
        return new BatchJob(new BatchJobId("job"), "site.example", "/x", model, 1, 0, List.of());
    }

    private static Optional<RouteConfiguration> configuration(StoredObject _object) {
        return Optional.of(new RouteConfiguration(
                1,
                List.of(),
                Map.of(new PoolName("pool"), Set.of("a", "b", "c", "d")),
                new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15)),
                AccountDirectory.NONE,
                Map.of()));
    }
}
