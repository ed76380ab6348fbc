package io.yuccaswitch.integration.site;

import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import io.yuccaswitch.testkit.check.ObservationLog;
import io.yuccaswitch.testkit.load.CallerClient;
import io.yuccaswitch.testkit.load.CallerClients;
import io.yuccaswitch.testkit.load.LoadMix;
import io.yuccaswitch.testkit.load.LoadReport;
import io.yuccaswitch.testkit.load.OpenLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Callers that generate load in the background and record the outcome of each attempt. */
public final class Callers {

    private static final int MAXIMUM_IN_FLIGHT = 400;

    private static final Duration MAXIMUM_DURATION = Duration.ofHours(12);

    private final Queue<CallerAttempt> attempts = new ConcurrentLinkedQueue<>();

    private final CompletableFuture<LoadReport> report;

    private volatile boolean stopped;

    private Callers(Site site, List<LoadMix.Kind> kinds, double rate, long seed) {
        String name = "callers-" + UUID.randomUUID();
        ObservationLog log = new ObservationLog(site.observations(name));
        CallerClient caller = CallerClients.create(
                site.entryAddresses(), site.shape().availabilityZones().get(0), Optional.empty(), name, attempt -> {
                    attempts.add(attempt);
                    log.write(attempt);
                });
        OpenLoop loop = new OpenLoop(new LoadMix(kinds), rate, MAXIMUM_DURATION, seed, MAXIMUM_IN_FLIGHT);
        report = CompletableFuture.supplyAsync(() -> loop.run(caller::call, () -> stopped), Callers::startDaemon);
    }

    public static Callers start(Site site, double rate, LoadMix.Kind... kinds) {
        return new Callers(site, List.of(kinds), rate, 1);
    }

    public static Callers start(Site site, double rate, long seed, List<LoadMix.Kind> kinds) {
        return new Callers(site, kinds, rate, seed);
    }

    public List<CallerAttempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Ends the load, waits for the requests in flight and returns the report. */
    public LoadReport stop() {
        stopped = true;
        return report.join();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "callers");
        thread.setDaemon(true);
        thread.start();
    }
}
