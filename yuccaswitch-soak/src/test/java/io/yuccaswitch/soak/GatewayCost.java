package io.yuccaswitch.soak;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.yuccaswitch.adapter.standin.CallerStandIn;
import io.yuccaswitch.adapter.standin.EngineStandIn;
import io.yuccaswitch.adapter.standin.SiteDocuments;
import io.yuccaswitch.adapter.standin.StoreStandIn;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Measures the processor time of gateways without load: of a start, and of an idle minute by kind of thread. The
 * gateways run with the command of the deploy file, as separate processes next to a platform stand-in. A second folder,
 * a built checkout of earlier code, can be measured in the same run, which then prints the ratios.
 */
final class GatewayCost {

    private static final Duration SETTLING_DELAY = Duration.ofSeconds(12);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAXIMUM_SEEDS = 3;

    @Parameter(names = "--gateways", description = "Number of gateways that run at once")
    private int gateways = 40;

    @Parameter(names = "--seconds", description = "Duration of the idle measurement in seconds")
    private int seconds = 20;

    @Parameter(names = "--before", description = "Built checkout of earlier code to compare with")
    private String before = "";

    private GatewayCost() {}

    public static void main(String[] arguments) throws Exception {
        GatewayCost run = new GatewayCost();
        JCommander.newBuilder().addObject(run).build().parse(arguments);
        ProcessorTime current = run.measure(Path.of("."));
        System.out.println("this code: " + current);
        if (!run.before.isEmpty()) {
            ProcessorTime earlier = run.measure(Path.of(run.before));
            System.out.println("earlier code: " + earlier);
            System.out.printf(
                    Locale.ROOT,
                    "ratio to earlier code: start %.2f, idle %.2f%n",
                    current.startMillis() / earlier.startMillis(),
                    current.idleMillisPerMinute() / earlier.idleMillisPerMinute());
        }
        System.exit(0);
    }

    private ProcessorTime measure(Path checkout) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("gateway-cost-");
        List<GatewayCommand> running = new ArrayList<>();
        try (StoreStandIn store = new StoreStandIn();
                EngineStandIn ledger = new EngineStandIn("i-ledger");
                EngineStandIn sampler = new EngineStandIn("i-sampler");
                CallerStandIn caller = new CallerStandIn()) {
            store.put("config", "main", SiteDocuments.configuration(1));
            store.put("servers", "i-ledger", ledger.entry("ledger"));
            store.put("servers", "i-sampler", sampler.entry("sampler"));
            List<String> seeds = new ArrayList<>();
            for (int number = 1; number <= gateways; number++) {
                GatewayCommand gateway =
                        new GatewayCommand(checkout, folder, number, store.address(), List.copyOf(seeds));
                if (seeds.size() < MAXIMUM_SEEDS) {
                    seeds.add(gateway.peerAddress());
                }
                running.add(gateway);
            }
            for (GatewayCommand gateway : running) {
                gateway.start();
            }
            Thread.sleep(SETTLING_DELAY.toMillis());
            Map<String, Double> startTimes = processorTimes(running);
            Thread.sleep(Duration.ofSeconds(seconds).toMillis());
            Map<String, Double> idleTimes = processorTimes(running);
            idleTimes.replaceAll((name, time) -> (time - startTimes.getOrDefault(name, 0.0)) * 60 / seconds);
            return new ProcessorTime(sum(startTimes), sum(idleTimes), startTimes, idleTimes);
        } finally {
            running.forEach(GatewayCommand::close);
        }
    }

    private static double sum(Map<String, Double> times) {
        return times.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the mean processor time of a gateway by kind of thread, in milliseconds. */
    private static Map<String, Double> processorTimes(List<GatewayCommand> gateways) throws IOException {
        Map<String, Double> times = new TreeMap<>();
        for (GatewayCommand gateway : gateways) {
            try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(gateway.pid()), "task"))) {
                for (Path thread : threads.toList()) {
                    String name =
                            Files.readString(thread.resolve("comm")).strip().replaceAll("[0-9]+", "N");
                    String nanos = Files.readString(thread.resolve("schedstat")).split(" ", -1)[0];
                    times.merge(name, Double.parseDouble(nanos) / NANOS_PER_MILLI / gateways.size(), Double::sum);
                }
            }
        }
        return times;
    }

    /** The mean processor time of a gateway, in milliseconds. */
    private record ProcessorTime(
            double startMillis,
            double idleMillisPerMinute,
            Map<String, Double> startByThread,
            Map<String, Double> idleByThread) {

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "start %.0f ms (%s), idle %.0f ms a minute (%s)",
                    startMillis,
                    largest(startByThread),
                    idleMillisPerMinute,
                    largest(idleByThread));
        }

        private static String largest(Map<String, Double> times) {
            return String.join(
                    ", ",
                    times.entrySet().stream()
                            .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()))
                            .limit(5)
                            .map(entry -> String.format(Locale.ROOT, "%s %.0f", entry.getKey(), entry.getValue()))
                            .toList());
        }
    }
}
