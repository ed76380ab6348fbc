package io.yuccaswitch.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.yuccaswitch.integration.site.CommandResult;
import io.yuccaswitch.integration.site.ConfigurationReader;
import io.yuccaswitch.integration.site.Http;
import io.yuccaswitch.integration.site.Pause;
import io.yuccaswitch.integration.site.Promises;
import io.yuccaswitch.integration.site.Site;
import io.yuccaswitch.integration.site.Site.Node;
import io.yuccaswitch.integration.site.Site.StandIn;
import io.yuccaswitch.integration.site.SiteShape;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Configuration changes, leases and weight versions under faults, on a site of real processes. */
class ControlFaultsIT {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private static final Duration PAUSE_BEYOND_LEASE = Duration.ofSeconds(5);

    private static final Set<String> INEFFECTIVE_RESULTS = Set.of("refused", "failed");

    private static final ExecutorService operators = Executors.newFixedThreadPool(2);

    private static Site site;

    @BeforeAll
    static void start() {
        site = Site.start(Site.newFolder("control-faults"), SiteShape.small());
    }

    @AfterAll
    static void stop() {
        operators.shutdownNow();
        if (site != null) {
            site.close();
        }
    }

    @Test
    void concurrentOperatorsReceiveCorrectResults() {
        long before = generation(site.nodes().get(0)).orElseThrow();
        try (ConfigurationReader reader = ConfigurationReader.start(site)) {
            CompletableFuture<CommandResult> first =
                    CompletableFuture.supplyAsync(() -> site.applyChange("rina", 11), operators);
            CompletableFuture<CommandResult> second =
                    CompletableFuture.supplyAsync(() -> site.applyChange("sujoy", 12), operators);
            long accepted = List.of(first.join(), second.join()).stream()
                    .filter(result -> result.exitCode() == 0)
                    .count();

            assertThat(accepted).isPositive();
            awaitGeneration(before + accepted);
        }
        Pause.of(Duration.ofMillis(500));
        site.nodes().forEach(node -> assertThat(generation(node))
                .isEqualTo(generation(site.nodes().get(0))));
        Promises.assertHold(site);
    }

    @Test
    void aNodeStartedDuringAPlatformOutageLoadsTheConfigurationFromItsPeers() {
        assertThat(site.applyChange("rina", 21).exitCode()).isZero();
        long generation = highestGeneration();
        awaitGeneration(generation);
        site.platform().control("outage?mode=silent");
        try {
            Node node = site.nodes().get(2);
            node.process().kill();
            node.restart();

            assertThat(generation(node)).hasValue(generation);
        } finally {
            site.platform().control("outage?mode=none");
        }
    }

    @Test
    void enginesExecuteOrdersByAscendingFencingNumberWhenEachNodeIsPausedBeyondItsLease() {
        long version = 100;
        for (Node paused : site.nodes()) {
            Node other = site.nodes().stream()
                    .filter(node -> !node.name().equals(paused.name()))
                    .findFirst()
                    .orElseThrow();
            paused.process().pause();
            try {
                Pause.of(PAUSE_BEYOND_LEASE);
                publish(other, ++version);
                awaitVersion(version);
            } finally {
                paused.process().resume();
            }
            Pause.of(Duration.ofSeconds(2));
            awaitVersion(version);
        }
        for (StandIn engine : site.engines()) {
            long last = 0;
            for (JsonNode order : Http.get(engine.address(), "/order-records").orElseThrow()) {
                if (!INEFFECTIVE_RESULTS.contains(order.path("result").asText())) {
                    assertThat(order.path("fencingNumber").asLong()).isGreaterThanOrEqualTo(last);
                    last = order.path("fencingNumber").asLong();
                }
            }
            assertThat(last).isPositive();
        }
    }

    private static void publish(Node node, long version) {
        Http.post(
                node.entryAddress(),
                "/v1/trainers/" + Site.TRAINER + "/versions",
                "{\"version\":" + version + ",\"location\":\"matcher/" + version + "\"}");
    }

    private static void awaitVersion(long version) {
        for (StandIn engine : site.engines()) {
            Awaitility.await(engine.name() + " to load version " + version)
                    .atMost(TIMEOUT)
                    .pollInterval(Duration.ofMillis(200))
                    .until(() -> Http.get(engine.address(), "/load")
                                    .map(load -> load.path("loadedVersions")
                                            .path(Site.TRAINER)
                                            .asLong())
                                    .orElse(0L)
                            >= version);
        }
    }

    private static void awaitGeneration(long generation) {
        for (Node node : site.nodes()) {
            Awaitility.await(node.name() + " to apply generation " + generation + " or a later one")
                    .atMost(TIMEOUT)
                    .pollInterval(Duration.ofMillis(100))
                    .until(() -> generation(node).orElse(0) >= generation);
        }
    }

    private static long highestGeneration() {
        Pause.of(Duration.ofSeconds(2));
        return site.nodes().stream()
                .mapToLong(node -> generation(node).orElse(0))
                .max()
                .orElseThrow();
    }

    private static OptionalLong generation(Node node) {
        return ConfigurationReader.generation(node);
    }
}
