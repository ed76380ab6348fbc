package io.yuccaswitch.soak;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.yuccaswitch.adapter.standin.CallerStandIn;
import io.yuccaswitch.adapter.standin.CallerStandIn.Reply;
import io.yuccaswitch.adapter.standin.EngineStandIn;
import io.yuccaswitch.adapter.standin.GatewayProcess;
import io.yuccaswitch.adapter.standin.SiteDocuments;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Runs the real programs under random faults, and checks the promises. */
final class SoakRun {

    /** How long the site may take to recover after the last fault: takeovers, restarts and the maximum backoff. */
    private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(25);

    /** How long an endpoint may still receive requests after it has announced that it leaves. */
    private static final Duration LEAVING_BOUND = Duration.ofSeconds(3);

    @Parameter(names = "--seeds", description = "First and last seed, such as 1-50", required = true)
    private String seeds = "";

    @Parameter(names = "--seconds", description = "Duration of the fault injection for each seed, in seconds")
    private int seconds = 20;

    @Parameter(names = "--gateways", description = "Number of gateways")
    private int gateways = 4;

    /**
     * How many endpoints a harmful request may crash: four until it is recognized as the cause, as two of them
     * sometimes run it at the same time, and four more while nodes are killed or partitioned and cannot notify each
     * other.
     */
    private static final int MAXIMUM_CRASHES = 8;

    private SoakRun() {}

    public static void main(String[] arguments) throws Exception {
        SoakRun run = new SoakRun();
        JCommander.newBuilder().addObject(run).build().parse(arguments);
        String[] range = run.seeds.split("-", -1);
        int broken = 0;
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[range.length - 1]); seed++) {
            Path folder = Files.createTempDirectory("soak-" + seed + "-");
            Result result = run(folder, seed, Duration.ofSeconds(run.seconds), run.gateways);
            System.out.println("seed=" + seed + " " + result);
            if (!result.violations().isEmpty()) {
                broken++;
                result.faults().forEach(System.out::println);
                System.out.println("logs=" + folder);
            }
        }
        System.out.println("seeds broken: " + broken);
        System.exit(broken == 0 ? 0 : 1);
    }

    /** Runs one seed. */
    static Result run(Path folder, long seed, Duration length, int gateways) throws IOException, InterruptedException {
        SoakHistory history = new SoakHistory();
        List<String> faults;
        int crashes;
        try (CallerStandIn caller = new CallerStandIn();
                SoakSite site = new SoakSite(folder, gateways)) {
            site.awaitReady(caller);
            try (SoakCallers _callers = new SoakCallers(site, history, seed)) {
                SoakFaults faultInjector = new SoakFaults(site, seed);
                faultInjector.run(length);
                faults = faultInjector.injectedFaults();
                awaitRecovery(site, caller, history);
            }
            checkLeaving(site, caller, history);
            checkCrashes(site, history);
            crashes = site.crashes();
            for (EngineStandIn engine : site.allEngines()) {
                String incarnation = engine.id() + "@" + engine.incarnation();
                history.runs.put(incarnation, engine.receivedRequests());
                history.orders.put(incarnation, engine.orders());
            }
        }
        return new Result(
                SoakChecks.violations(history),
                faults,
                history.plain.size(),
                answered(history),
                SoakChecks.accepted(history).size(),
                crashes);
    }

    /** Waits until the newest configuration and version are active everywhere. */
    private static void awaitRecovery(SoakSite site, CallerStandIn caller, SoakHistory history)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + RECOVERY_TIMEOUT.toNanos();
        List<String> unrecovered = unrecovered(site, caller);
        while (!unrecovered.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(200);
            site.restartCrashed();
            site.writeEntries();
            unrecovered = unrecovered(site, caller);
        }
        unrecovered.forEach(
                what -> history.failures.add(what + " " + RECOVERY_TIMEOUT.toSeconds() + " s after the last fault"));
    }

    private static List<String> unrecovered(SoakSite site, CallerStandIn caller) {
        List<String> unrecovered = new ArrayList<>();
        String route = SiteDocuments.path("v" + site.configuration.get());
        for (GatewayProcess gateway : site.gateways) {
            Optional<Reply> reply = caller.plain(gateway.entry(), route, "probe-" + System.nanoTime());
            if (reply.filter(found -> found.status() == 200).isEmpty()) {
                unrecovered.add("the newest route at " + gateway.entry() + " was answered with status "
                        + reply.map(found -> Integer.toString(found.status())).orElse("none"));
            }
        }
        site.engines.values().stream()
                .filter(engine -> SoakSite.serviceOf(engine.id()).equals("sampler"))
                .filter(engine -> engine.version() < site.version.get())
                .forEach(engine -> unrecovered.add(engine.id() + " is not at the newest version"));
        return unrecovered;
    }

    /** Lets an endpoint leave after the faults have ended, and checks that it then receives no more requests. */
    private static void checkLeaving(SoakSite site, CallerStandIn caller, SoakHistory history)
            throws InterruptedException {
        String leaving = site.engines.keySet().stream()
                .filter(id -> SoakSite.serviceOf(id).equals("ledger"))
                .findFirst()
                .orElseThrow();
        EngineStandIn engine = site.engines.get(leaving);
        site.replaceEngine(leaving);
        Thread.sleep(LEAVING_BOUND.toMillis());
        int before = engine.receivedRequests().size();
        for (GatewayProcess gateway : site.gateways) {
            for (int i = 0; i < 10; i++) {
                caller.plain(gateway.entry(), SiteDocuments.path("safe"), "late-" + System.nanoTime());
            }
        }
        if (engine.receivedRequests().size() > before) {
            history.failures.add(leaving + " received requests " + LEAVING_BOUND.toSeconds()
                    + " s after it announced that it leaves");
        }
    }

    private static void checkCrashes(SoakSite site, SoakHistory history) {
        if (site.crashes() > MAXIMUM_CRASHES) {
            history.failures.add(site.crashes() + " endpoints crashed while they ran the harmful request");
        }
    }

    private static int answered(SoakHistory history) {
        return (int) history.plain.stream()
                .filter(plain ->
                        plain.reply().filter(reply -> reply.status() == 200).isPresent())
                .count();
    }

    /** The result of a seed. */
    record Result(List<String> violations, List<String> faults, int requests, int answered, int jobs, int crashes) {

        @Override
        public String toString() {
            return "faults=" + faults.size() + " requests=" + requests + " answered=" + answered + " jobs=" + jobs
                    + " crashes=" + crashes + " violations=" + violations;
        }
    }
}
