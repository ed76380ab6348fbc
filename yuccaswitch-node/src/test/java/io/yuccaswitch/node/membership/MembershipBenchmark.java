package io.yuccaswitch.node.membership;

import com.google.common.math.Quantiles;
import io.yuccaswitch.core.driver.CoreDriver;
import io.yuccaswitch.core.driver.DrivenNode;
import io.yuccaswitch.core.driver.DrivenPlatform;
import io.yuccaswitch.core.driver.Envelopes;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipStatistics;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.node.peer.PeerMessages;
import io.yuccaswitch.protocol.PeerMessageCodec;
import io.yuccaswitch.protocol.PeerTransportSettings;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Measures the membership and the distribution of the configuration. Decision cores run in memory with a simulated
 * clock, messages are delayed by one to five milliseconds, and sizes are those of the encoded frames. It does not run
 * with the other tests.
 */
class MembershipBenchmark {

    private static final int VICTIM_END_INDEX = 8;
    private static final int GENERATIONS_PER_CASE = 15;
    private static final int PAUSES_PER_DURATION = 10;
    private static final Duration MEASUREMENT_INTERVAL = Duration.ofSeconds(30);
    private static final Duration CONVERGENCE_TIMEOUT = Duration.ofMinutes(2);

    private final PeerMessageCodec codec =
            new PeerMessageCodec(PeerMessages.registry(), PeerTransportSettings.MAXIMUM_FRAME_LENGTH);

    @ParameterizedTest
    @CsvSource({"8,4", "16,4", "32,4", "64,4", "350,13"})
    void measure(int nodes, int zones) {
        CoreDriver driver = new CoreDriver(1);
        driver.platform().configure(Envelopes.of(1));
        driver.startFleet(nodes, zones);
        Duration ready = until(driver, () -> driver.nodes().stream()
                .allMatch(node -> node.configuration().isReady()
                        && node.membership().working().size() == nodes));
        driver.run(Duration.ofSeconds(30));
        print("nodes=%d zones=%d ready=%.2fs", nodes, zones, seconds(ready));
        idle(driver);
        generations(driver);
        pauses(driver);
        deaths(driver);
    }

    private void idle(CoreDriver driver) {
        Map<NodeName, Long> bytes = new HashMap<>();
        long[] messages = {0};
        driver.nodes().forEach(DrivenNode::resetCpu);
        driver.platform().resetCalls();
        driver.observe((node, message) -> {
            bytes.merge(node.name(), size(message), Long::sum);
            messages[0]++;
        });
        driver.run(MEASUREMENT_INTERVAL);
        driver.observe((_node, _message) -> {});
        int nodes = driver.nodes().size();
        double mean = bytes.values().stream().mapToLong(Long::longValue).sum() / seconds(MEASUREMENT_INTERVAL) / nodes;
        double maximum =
                bytes.values().stream().mapToLong(Long::longValue).max().orElse(0) / seconds(MEASUREMENT_INTERVAL);
        double cpu = driver.nodes().stream().mapToLong(DrivenNode::cpuNanos).sum()
                / 1e9
                / seconds(MEASUREMENT_INTERVAL)
                / nodes;
        double tick = driver.nodes().stream()
                .mapToDouble(DrivenNode::cpuMicrosPerTick)
                .average()
                .orElse(0);
        print(
                "  idle: sent per node %.0f B/s (max %.0f), %.1f messages/s; core %.3f%% of a CPU, %.1f us per tick",
                mean, maximum, messages[0] / seconds(MEASUREMENT_INTERVAL) / nodes, cpu * 100, tick);
        print(
                "  platform calls of all nodes per second: watch %.2f list %.2f read %.2f write %.2f",
                rate(driver, DrivenPlatform.Kind.WATCH),
                rate(driver, DrivenPlatform.Kind.LIST),
                rate(driver, DrivenPlatform.Kind.READ),
                rate(driver, DrivenPlatform.Kind.WRITE));
    }

    private void generations(CoreDriver driver) {
        List<Double> platformUp = new ArrayList<>();
        List<Double> platformDown = new ArrayList<>();
        for (int i = 2; i < 2 + GENERATIONS_PER_CASE; i++) {
            long generation = i;
            driver.platform().configure(Envelopes.of(generation));
            platformUp.add(seconds(until(driver, () -> allHaveGeneration(driver, generation))));
        }
        for (int i = 2 + GENERATIONS_PER_CASE; i < 2 + 2 * GENERATIONS_PER_CASE; i++) {
            long generation = i;
            DrivenNode first = driver.nodes().iterator().next();
            driver.platform().down();
            driver.run(Duration.ofSeconds(1));
            first.accept(Envelopes.decode(Envelopes.of(generation)));
            platformDown.add(seconds(until(driver, () -> allHaveGeneration(driver, generation))));
        }
        driver.platform().up();
        driver.run(Duration.ofSeconds(10));
        print("  generation active on all nodes, platform up: %s", quantiles(platformUp));
        print("  generation active on all nodes, platform down, from one node: %s", quantiles(platformDown));
    }

    private void pauses(CoreDriver driver) {
        for (long millis : new long[] {500, 2000, 4000}) {
            long suspicions = sum(driver, MembershipStatistics::suspicions);
            long refuted = sum(driver, MembershipStatistics::refutedDeaths);
            List<DrivenNode> nodes = List.copyOf(driver.nodes());
            for (int i = 0; i < PAUSES_PER_DURATION; i++) {
                DrivenNode paused = nodes.get(i % nodes.size());
                paused.pause();
                driver.run(Duration.ofMillis(millis));
                paused.resume();
                driver.run(Duration.ofSeconds(6));
            }
            print(
                    "  %d pauses of %d ms: %d suspicions raised, %d death verdicts of all nodes refuted",
                    PAUSES_PER_DURATION,
                    millis,
                    sum(driver, MembershipStatistics::suspicions) - suspicions,
                    sum(driver, MembershipStatistics::refutedDeaths) - refuted);
        }
    }

    private void deaths(CoreDriver driver) {
        List<DrivenNode> victims = victims(driver);
        long refuted = survivorsRefuted(driver, victims);
        List<Double> first = new ArrayList<>();
        List<Double> all = new ArrayList<>();
        for (DrivenNode dead : victims) {
            driver.kill(dead);
            Duration some = until(driver, () -> driver.nodes().stream()
                    .anyMatch(node -> node.conditionOf(dead) == MemberCondition.DEAD));
            Duration rest = until(driver, () -> driver.nodes().stream()
                    .allMatch(node -> node.conditionOf(dead) == MemberCondition.DEAD));
            first.add(seconds(some));
            all.add(seconds(some.plus(rest)));
            driver.run(Duration.ofSeconds(2));
        }
        print("  dead node detected by the first node: %s", quantiles(first));
        print("  dead node detected by all nodes: %s", quantiles(all));
        print("  false suspicions meanwhile: %d", survivorsRefuted(driver, victims) - refuted);
    }

    private static List<DrivenNode> victims(CoreDriver driver) {
        return List.copyOf(driver.nodes())
                .subList(1, Math.min(VICTIM_END_INDEX, driver.nodes().size() - 2));
    }

    private static long survivorsRefuted(CoreDriver driver, List<DrivenNode> victims) {
        return driver.nodes().stream()
                .filter(node -> !victims.contains(node))
                .mapToLong(node -> node.membership().statistics().refutedSuspicions())
                .sum();
    }

    private long size(PeerMessage message) {
        return codec.encode(message).orElseThrow().size();
    }

    private static boolean allHaveGeneration(CoreDriver driver, long generation) {
        return driver.nodes().stream().allMatch(node -> node.configuration().generation() == generation);
    }

    private static Duration until(CoreDriver driver, BooleanSupplier condition) {
        return driver.runUntil(condition, CONVERGENCE_TIMEOUT);
    }

    private static double rate(CoreDriver driver, DrivenPlatform.Kind kind) {
        return driver.platform().calls(kind) / seconds(MEASUREMENT_INTERVAL);
    }

    private static long sum(CoreDriver driver, ToLongFunction<MembershipStatistics> number) {
        return driver.nodes().stream()
                .mapToLong(node -> number.applyAsLong(node.membership().statistics()))
                .sum();
    }

    private static String quantiles(List<Double> values) {
        return String.format(
                Locale.ROOT,
                "p50 %.2fs p99 %.2fs max %.2fs (n=%d)",
                Quantiles.percentiles().index(50).compute(values),
                Quantiles.percentiles().index(99).compute(values),
                Quantiles.percentiles().index(100).compute(values),
                values.size());
    }

    private static double seconds(Duration duration) {
        return duration.toMillis() / 1000.0;
    }

    @SuppressWarnings("SystemOut")
    private static void print(String format, Object... arguments) {
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }
}
