package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.EndpointEvent;
import io.yuccaswitch.core.endpoint.LoadReport;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.lease.HeldLease;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Prints the figures of docs/MEASUREMENTS.md, "Leases and weights". It is not part of the test suite. Run it with
 * {@code mvn -B -pl yuccaswitch-core test -Dtest=WeightBenchmark}.
 */
class WeightBenchmark {

    private static final Duration TICK = Duration.ofMillis(20);

    private static final Duration LOAD_TIME = Duration.ofSeconds(1);

    @Test
    void rolloutTimeByNumberOfEnginesAndStoreRate() {
        print(
                "| engines | loads/s of the store | concurrent loads | rollout (s) | most loading | orders | read-backs | holder CPU in rollout (%) |");
        print("|---|---|---|---|---|---|---|---|");
        rollOut(64, 16);
        for (int engines : List.of(8, 64, 512, 2200)) {
            for (int rate : List.of(16, 64, 128, 256)) {
                rollOut(engines, rate);
            }
        }
    }

    @Test
    void idleProcessorTimeOfAHolderAndOfAnotherNode() {
        print("| engines | holder CPU (%) | holder us/tick | read-backs/s | other node CPU (%) | other us/tick |");
        print("|---|---|---|---|---|---|");
        for (int engines : List.of(64, 8, 64, 512, 2200)) {
            TestSite site = site(engines, 64, 3);
            site.run(Duration.ofSeconds(20));
            TestNode holder = site.holder().orElseThrow();
            TestNode other = site.nodes.values().stream()
                    .filter(node -> node != holder)
                    .findFirst()
                    .orElseThrow();
            Duration time = Duration.ofMinutes(1);
            site.probes = 0;
            long[] before = {holder.processorNanos, other.processorNanos};
            site.run(time);
            long ticks = time.dividedBy(TICK);
            double holderNanos = holder.processorNanos - before[0];
            double otherNanos = other.processorNanos - before[1];
            print(String.format(
                    "| %d | %.3f | %.1f | %.1f | %.3f | %.1f |",
                    engines,
                    100 * holderNanos / time.toNanos(),
                    holderNanos / ticks / 1000,
                    site.probes / (double) time.toSeconds(),
                    100 * otherNanos / time.toNanos(),
                    otherNanos / ticks / 1000));
        }
    }

    @Test
    void heapOfTheEngineStateAtTheHolder() {
        print("| engines | heap of the holder's state (bytes) | bytes per engine |");
        print("|---|---|---|");
        for (int engines : List.of(512, 2200, 22_000)) {
            long bytes = heapOfState(engines);
            print("| " + engines + " | " + bytes + " | " + bytes / engines + " |");
        }
    }

    @Test
    void platformCallsOfALease() {
        print("| nodes | platform calls/s of one lease | platform calls/s for versions | messages/s of a node |");
        print("|---|---|---|---|");
        for (int nodes : List.of(3, 10, 30, 100)) {
            TestSite site = site(2, 4, nodes);
            site.stepLength = Duration.ofMillis(100);
            site.run(Duration.ofSeconds(30));
            site.platform.calls.clear();
            site.messages = 0;
            Duration time = Duration.ofMinutes(5);
            site.publish(site.nodes.get("n1"), "t", 2);
            site.run(time);
            print(String.format(
                    "| %d | %.2f | %.4f | %.2f |",
                    nodes,
                    site.platform.calls.getOrDefault(PlatformPurpose.LEASE, 0) / (double) time.toSeconds(),
                    site.platform.calls.getOrDefault(PlatformPurpose.WEIGHT, 0) / (double) time.toSeconds(),
                    site.messages / (double) time.toSeconds() / nodes));
        }
    }

    private static void rollOut(int engines, int rate) {
        TestSite site = site(engines, rate, 3);
        site.run(Duration.ofSeconds(20));
        TestNode holder = site.holder().orElseThrow();
        MonotonicTime startedAt = site.now;
        long before = holder.processorNanos;
        site.publish(holder, "t", 2);
        int maximumLoading = 0;
        site.probes = 0;
        while (!site.allHold("m", 2) && site.now.since(startedAt).toMinutes() < 15) {
            site.step();
            int loading = site.engines.values().stream()
                    .mapToInt(engine -> engine.loads.size())
                    .sum();
            maximumLoading = Math.max(maximumLoading, loading);
        }
        Duration time = site.now.since(startedAt);
        print(String.format(
                "| %d | %d | %d | %.1f | %d | %d | %d | %.2f |",
                engines,
                rate,
                site.concurrentLoads,
                time.toMillis() / 1000.0,
                maximumLoading,
                site.engines.values().stream().mapToInt(engine -> engine.orders).sum(),
                site.probes,
                100.0 * (holder.processorNanos - before) / time.toNanos()));
    }

    /**
     * Creates a site whose weight store completes at most {@code rate} loads per second, each of which takes at least
     * one second.
     */
    private static TestSite site(int engines, int rate, int nodes) {
        TestSite site = new TestSite();
        site.stepLength = TICK;
        site.concurrentLoads = 2 * rate;
        MonotonicTime[] freeAt = {site.now};
        for (int index = 0; index < engines; index++) {
            FakeEngine engine = site.addEngine("e" + index, Map.of("m", 1L));
            engine.loadTime = LOAD_TIME;
            engine.loadScheduler = (now, time) -> {
                MonotonicTime begin = now.isBefore(freeAt[0]) ? freeAt[0] : now;
                freeAt[0] = begin.plus(Duration.ofSeconds(1).dividedBy(rate));
                MonotonicTime earliest = now.plus(time);
                return earliest.isBefore(freeAt[0]) ? freeAt[0] : earliest;
            };
        }
        site.addTrainer("t", "m", 1);
        for (int index = 0; index < nodes; index++) {
            site.addNode("n" + index);
        }
        site.configure();
        return site;
    }

    private static long heapOfState(int engines) {
        TestSite site = site(engines, 64, 1);
        FleetConfiguration configuration = site.configuration();
        List<EndpointName> names = List.copyOf(site.engines.keySet());
        long before = usedHeap();
        WeightTables tables = new WeightTables();
        VersionTable versions = new VersionTable();
        EngineTrackingSystem tracking = new EngineTrackingSystem(
                tables,
                (name, now) -> Optional.of(
                        new HeldLease(name, 1, MonotonicTime.ZERO, now.plus(Duration.ofSeconds(1)), false)));
        DecisionCore core = new DecisionCore(List.of(tracking, new PlacementSystem(tables, versions)), 1);
        core.tick(MonotonicTime.ZERO, List.of(new ConfigurationEvent.Activated(1, configuration)));
        List<Event> reports = new ArrayList<>();
        for (EndpointName name : names) {
            LoadReport load = new LoadReport(MonotonicTime.ZERO, 0, 0, 1, 0);
            String incarnation = "incarnation-of-" + name;
            reports.add(new EndpointEvent.Reported(name, incarnation, load, Map.of("m", 1L), false));
        }
        core.tick(MonotonicTime.ZERO.plus(Duration.ofSeconds(2)), reports);
        reports.clear();
        core.tick(MonotonicTime.ZERO.plus(Duration.ofSeconds(4)), List.of());
        long after = usedHeap();
        if (tables.engines().size() != names.size() || core.hashCode() == 0 || configuration == null) {
            throw new IllegalStateException();
        }
        return after - before;
    }

    private static long usedHeap() {
        for (int round = 0; round < 4; round++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void print(String line) {
        System.out.println(line);
    }
}
