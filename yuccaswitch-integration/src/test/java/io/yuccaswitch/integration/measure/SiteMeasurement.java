package io.yuccaswitch.integration.measure;

import io.yuccaswitch.integration.site.Callers;
import io.yuccaswitch.integration.site.CommandResult;
import io.yuccaswitch.integration.site.Http;
import io.yuccaswitch.integration.site.Pause;
import io.yuccaswitch.integration.site.Site;
import io.yuccaswitch.integration.site.Site.Node;
import io.yuccaswitch.integration.site.Site.StandIn;
import io.yuccaswitch.integration.site.SiteShape;
import io.yuccaswitch.testkit.check.Observation.AttemptEnd;
import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import io.yuccaswitch.testkit.check.Observation.EndpointRefused;
import io.yuccaswitch.testkit.check.Observation.EndpointRun;
import io.yuccaswitch.testkit.check.Observations;
import io.yuccaswitch.testkit.load.CallerClient;
import io.yuccaswitch.testkit.load.CallerClients;
import io.yuccaswitch.testkit.load.LoadMix;
import io.yuccaswitch.testkit.load.LoadMix.Kind;
import io.yuccaswitch.testkit.load.LoadReport;
import io.yuccaswitch.testkit.load.LoadReport.KindReport;
import io.yuccaswitch.testkit.load.OpenLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.LongStream;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Measures a complete site of real processes, and prints the figures for docs/MEASUREMENTS.md. */
public final class SiteMeasurement {

    private static final int ROUNDS = 10;

    private static final Duration IDLE_DURATION = Duration.ofSeconds(20);

    private static final long CLOCK_TICKS_PER_SECOND = 100;

    private final Site site;

    private SiteMeasurement(Site site) {
        this.site = site;
    }

    public static void main(String[] _arguments) throws Exception {
        try (Site site = Site.start(Site.newFolder("measurement"), SiteShape.small())) {
            SiteMeasurement measurement = new SiteMeasurement(site);
            measurement.idleNodes();
            measurement.addedLatency();
            measurement.configurationPropagation();
            measurement.leavingEndpoint();
        }
        System.exit(0);
    }

    /** Measures the processor time, memory and I/O of each node while the site has no load. */
    private void idleNodes() throws IOException {
        Pause.of(Duration.ofSeconds(10));
        List<long[]> before = new ArrayList<>();
        for (Node node : site.nodes()) {
            before.add(usage(node.process().pid()));
        }
        Pause.of(IDLE_DURATION);
        for (int index = 0; index < before.size(); index++) {
            Node node = site.nodes().get(index);
            long[] after = usage(node.process().pid());
            long[] first = before.get(index);
            print(
                    "idle node=%s cpu=%.2f%% of a core, resident=%d MB, read and written=%.1f KB/s",
                    node.name(),
                    100.0 * (after[0] - first[0]) / CLOCK_TICKS_PER_SECOND / IDLE_DURATION.toSeconds(),
                    after[1] / 1_024,
                    (after[2] - first[2]) / 1_024.0 / IDLE_DURATION.toSeconds());
        }
    }

    /** Returns processor ticks, resident kilobytes, and the bytes of all reads and writes, files included. */
    private static long[] usage(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(process.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        long resident = value(Files.readAllLines(process.resolve("status")), "VmRSS:");
        List<String> io = Files.readAllLines(process.resolve("io"));
        return new long[] {ticks, resident, value(io, "rchar:") + value(io, "wchar:")};
    }

    private static long value(List<String> lines, String key) {
        return lines.stream()
                .filter(line -> line.startsWith(key))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }

    /** Measures the latency of calls through the system against direct calls, mixed in one load. */
    private void addedLatency() {
        Kind through = withName("through", Kind.post(Site.SERVICE_POOL, "netting", 5_000, 1));
        Kind direct = withName("direct", Kind.post(Site.SERVICE_POOL, "netting", 5_000, 1));
        CallerClient caller = CallerClients.create(
                site.entryAddresses(),
                site.shape().availabilityZones().get(0),
                Optional.empty(),
                "measure",
                _attempt -> {});
        OkHttpClient client = CallerClients.httpClient();
        AtomicLong ids = new AtomicLong();
        Function<Kind, Optional<CallerAttempt>> calls = kind -> kind.name().equals("direct")
                ? Optional.of(callDirectly(client, "direct-" + ids.incrementAndGet()))
                : caller.call(kind);
        LoadMix mix = new LoadMix(List.of(through, direct));
        new OpenLoop(mix, 100, Duration.ofSeconds(15), 1, 400).run(calls, () -> false);
        LoadReport report = new OpenLoop(mix, 100, Duration.ofSeconds(40), 2, 400).run(calls, () -> false);
        KindReport added = report.kinds().get("through");
        KindReport base = report.kinds().get("direct");
        print(
                "latency through/direct: p50 %.2f/%.2f ms = %.2fx, p99 %.2f/%.2f ms = %.2fx, p99.9 %.2f/%.2f ms = %.2fx,"
                        + " answered %d/%d",
                added.p50Millis(),
                base.p50Millis(),
                added.p50Millis() / base.p50Millis(),
                added.p99Millis(),
                base.p99Millis(),
                added.p99Millis() / base.p99Millis(),
                added.p999Millis(),
                base.p999Millis(),
                added.p999Millis() / base.p999Millis(),
                added.answered(),
                base.answered());
    }

    private CallerAttempt callDirectly(OkHttpClient client, String id) {
        List<StandIn> services = site.services();
        String address = site.proxy().addressOf(services.get(id.hashCode() & 1).name());
        Request request = new Request.Builder()
                .url("http://" + address + "/netting")
                .header("X-Request-Id", id)
                .post(RequestBody.create("{\"confirmation\":\"" + id + "\"}", MediaType.get("application/json")))
                .build();
        try (Response response = client.newCall(request).execute()) {
            response.body().string();
            return new CallerAttempt(id, "", false, 0, 0, AttemptEnd.ANSWERED, true, true, "");
        } catch (IOException exception) {
            return new CallerAttempt(id, "", false, 0, 0, AttemptEnd.CUT, false, false, exception.toString());
        }
    }

    private static Kind withName(String name, Kind kind) {
        return new Kind(
                name,
                1,
                kind.target(),
                kind.pool(),
                kind.path(),
                kind.idempotent(),
                kind.streaming(),
                kind.maximumTokens(),
                kind.priority(),
                kind.timeoutMillis(),
                kind.attempts());
    }

    /** Measures the time from the acceptance of a configuration until each node reports it as active. */
    private void configurationPropagation() throws IOException {
        List<Long> times = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            AtomicLong sentAt = new AtomicLong();
            int weight = 30 + round;
            Thread operator = new Thread(() -> {
                CommandResult result = site.applyChange("measurement", weight);
                if (result.exitCode() != 0) {
                    throw new IllegalStateException(result.toString());
                }
            });
            long before = generation(site.nodes().get(0));
            operator.start();
            List<Node> waiting = new ArrayList<>(site.nodes());
            List<Long> seen = new ArrayList<>();
            while (!waiting.isEmpty()) {
                waiting.removeIf(node -> {
                    if (generation(node) <= before) {
                        return false;
                    }
                    seen.add(System.currentTimeMillis());
                    return true;
                });
                Pause.of(Duration.ofMillis(5));
            }
            sentAt.set(acceptedAt());
            seen.forEach(time -> times.add(time - sentAt.get()));
            join(operator);
        }
        print(
                "configuration into force on a node: %s, over %d nodes and %d changes",
                medianAndMaximum(times), 3, ROUNDS);
    }

    private static long generation(Node node) {
        return node.status()
                .map(status -> status.path("configuration").path("generation").asLong())
                .orElse(0L);
    }

    /** Returns the time that the operator's command wrote into the accepted configuration. */
    private long acceptedAt() throws IOException {
        String list = Http.get(site.platform().address(), "/objects/configuration")
                .orElseThrow()
                .path("objects")
                .path(0)
                .path("value")
                .asText();
        String value = new String(Base64.getDecoder().decode(list), StandardCharsets.UTF_8);
        return Instant.parse(Http.parse(value).path("acceptedAt").asText()).toEpochMilli();
    }

    /** Measures the time from when an endpoint starts to leave until the last request that reaches it. */
    private void leavingEndpoint() {
        List<Long> times = new ArrayList<>();
        StandIn leaving = site.services().get(1);
        Callers callers = Callers.start(site, 100, Kind.post(Site.SERVICE_POOL, "netting", 5_000, 1));
        for (int round = 0; round < ROUNDS; round++) {
            Pause.of(Duration.ofSeconds(2));
            long leftAt = System.currentTimeMillis();
            leaving.fault("leaving", 1);
            Pause.of(Duration.ofSeconds(5));
            times.add(Math.max(0, lastArrival(leaving) - leftAt));
            leaving.process().kill();
            leaving.restart();
        }
        LoadReport report = callers.stop();
        print(
                "last request to a leaving endpoint after: %s, over %d rounds; load %s",
                medianAndMaximum(times), ROUNDS, report);
    }

    private long lastArrival(StandIn endpoint) {
        Observations observations = new Observations(site.observations());
        LongStream runs = observations.of(EndpointRun.class).stream()
                .filter(run -> run.endpoint().equals(endpoint.name()))
                .mapToLong(EndpointRun::startedAt);
        LongStream refusals = observations.of(EndpointRefused.class).stream()
                .filter(refusal -> refusal.endpoint().equals(endpoint.name()))
                .mapToLong(EndpointRefused::refusedAt);
        return LongStream.concat(runs, refusals).max().orElse(0);
    }

    private static void join(Thread thread) {
        try {
            thread.join(TimeUnit.MINUTES.toMillis(1));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }

    private static String medianAndMaximum(List<Long> times) {
        List<Long> sorted = new ArrayList<>(times);
        Collections.sort(sorted);
        return String.format(
                Locale.ROOT,
                "median %d ms, maximum %d ms",
                sorted.get(sorted.size() / 2),
                sorted.get(sorted.size() - 1));
    }

    private static void print(String format, Object... arguments) {
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }
}
