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

/** Runs the real programs under random faults, and judges the promises. */
final class SoakRun {

    /** How long the site may take to be whole after the last fault: takeovers, restarts and the longest back-off. */
    private static final Duration RECOVERY = Duration.ofSeconds(25);

    /** How long after its word a leaving endpoint may still get requests. */
    private static final Duration LEAVING_TIME = Duration.ofSeconds(3);

    @Parameter(names = "--seeds", description = "First and last seed, such as 1-50", required = true)
    private String seeds = "";

    @Parameter(names = "--seconds", description = "How long faults strike, for each seed")
    private int seconds = 20;

    @Parameter(names = "--gateways", description = "How many gateways run")
    private int gateways = 4;

    /**
     * How many endpoints may crash at one request: four until it is known for what it does, as two of them run it at
     * the same moment at times, and as many again while nodes are killed or cut off and can't tell each other.
     */
    private static final int MOST_CRASHES = 8;

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
                SoakFaults striking = new SoakFaults(site, seed);
                striking.run(length);
                faults = striking.told();
                awaitRecovery(site, caller, history);
            }
            judgeLeaving(site, caller, history);
            judgeCrashes(site, history);
            crashes = site.crashes();
            for (EngineStandIn engine : site.allEngines()) {
                String start = engine.id() + "@" + engine.incarnation();
                history.runs.put(start, engine.receivedRequests());
                history.orders.put(start, engine.orders());
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

    /** Waits until the newest configuration and version are in force everywhere. */
    private static void awaitRecovery(SoakSite site, CallerStandIn caller, SoakHistory history)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + RECOVERY.toNanos();
        List<String> missing = missing(site, caller);
        while (!missing.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(200);
            site.restartCrashed();
            site.beat();
            missing = missing(site, caller);
        }
        missing.forEach(what -> history.failures.add(what + " " + RECOVERY.toSeconds() + " s after the last fault"));
    }

    private static List<String> missing(SoakSite site, CallerStandIn caller) {
        List<String> missing = new ArrayList<>();
        String route = SiteDocuments.path("v" + site.configuration.get());
        for (GatewayProcess gateway : site.gateways) {
            Optional<Reply> reply = caller.plain(gateway.entry(), route, "probe-" + System.nanoTime());
            if (reply.filter(found -> found.status() == 200).isEmpty()) {
                missing.add("no answer on the newest route at " + gateway.entry() + ", but "
                        + reply.map(found -> Integer.toString(found.status())).orElse("none"));
            }
        }
        site.engines.values().stream()
                .filter(engine -> SoakSite.serviceOf(engine.id()).equals("sampler"))
                .filter(engine -> engine.version() < site.version.get())
                .forEach(engine -> missing.add(engine.id() + " is not at the newest version"));
        return missing;
    }

    /** Lets an endpoint leave in calm, after which no request may reach it any more. */
    private static void judgeLeaving(SoakSite site, CallerStandIn caller, SoakHistory history)
            throws InterruptedException {
        String leaving = site.engines.keySet().stream()
                .filter(id -> SoakSite.serviceOf(id).equals("ledger"))
                .findFirst()
                .orElseThrow();
        EngineStandIn engine = site.engines.get(leaving);
        site.replaceEngine(leaving);
        Thread.sleep(LEAVING_TIME.toMillis());
        int before = engine.receivedRequests().size();
        for (GatewayProcess gateway : site.gateways) {
            for (int i = 0; i < 10; i++) {
                caller.plain(gateway.entry(), SiteDocuments.path("safe"), "late-" + System.nanoTime());
            }
        }
        if (engine.receivedRequests().size() > before) {
            history.failures.add(leaving + " got requests " + LEAVING_TIME.toSeconds() + " s after it said it leaves");
        }
    }

    private static void judgeCrashes(SoakSite site, SoakHistory history) {
        if (site.crashes() > MOST_CRASHES) {
            history.failures.add(site.crashes() + " endpoints crashed at one request");
        }
    }

    private static int answered(SoakHistory history) {
        return (int) history.plain.stream()
                .filter(plain ->
                        plain.reply().filter(reply -> reply.status() == 200).isPresent())
                .count();
    }

    /** What became of a seed. */
    record Result(List<String> violations, List<String> faults, int requests, int answered, int jobs, int crashes) {

        @Override
        public String toString() {
            return "faults=" + faults.size() + " requests=" + requests + " answered=" + answered + " jobs=" + jobs
                    + " crashes=" + crashes + " violations=" + violations;
        }
    }
}
