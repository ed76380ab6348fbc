package io.yuccaswitch.integration.fault;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.yuccaswitch.integration.site.Callers;
import io.yuccaswitch.integration.site.ConfigurationReader;
import io.yuccaswitch.integration.site.Operator;
import io.yuccaswitch.integration.site.Promises;
import io.yuccaswitch.integration.site.Site;
import io.yuccaswitch.integration.site.SiteShape;
import io.yuccaswitch.integration.site.Training;
import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.PromiseChecker;
import io.yuccaswitch.testkit.check.Verdict;
import io.yuccaswitch.testkit.load.LoadMix.Kind;
import io.yuccaswitch.testkit.load.LoadReport;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Injects random faults, alone or in pairs, into a complete site under load, and then checks every promise against the
 * observations that callers, trainers and endpoints recorded.
 */
public final class FaultRun {

    private static final int BROKEN = 1;

    private static final int USAGE = 2;

    @Parameter(names = "--seed", description = "Seed of the faults and the load", required = true)
    private long seed;

    @Parameter(names = "--minutes", description = "Length of the run in minutes")
    private double minutes = 2;

    @Parameter(names = "--rate", description = "Caller requests per second")
    private double rate = 40;

    private FaultRun() {}

    public static void main(String[] arguments) throws Exception {
        FaultRun run = new FaultRun();
        try {
            JCommander.newBuilder().addObject(run).build().parse(arguments);
        } catch (com.beust.jcommander.ParameterException exception) {
            System.err.println(exception.getMessage());
            System.exit(USAGE);
        }
        Duration length =
                Duration.ofMillis((long) (run.minutes * Duration.ofMinutes(1).toMillis()));
        List<Verdict> verdicts = run(Site.newFolder("fault-run-" + run.seed), run.seed, length, run.rate);
        System.out.print(PromiseChecker.describe(verdicts));
        System.exit(verdicts.stream().allMatch(Verdict::held) ? 0 : BROKEN);
    }

    /** Injects the faults into a new site and returns the verdict on each promise. */
    static List<Verdict> run(Path folder, long seed, Duration length, double rate) throws InterruptedException {
        System.out.println("seed=" + seed + " length=" + length + " folder=" + folder);
        List<Kind> kinds = List.of(
                Kind.post(Site.SERVICE_POOL, "netting", 3_000, 4),
                Kind.completion(Site.TRAINER, 16, false, 8_000, 4),
                Kind.completion(Site.TRAINER, 40, true, 8_000, 4));
        try (Site site = Site.start(folder, SiteShape.small())) {
            FaultSchedule schedule = new FaultSchedule(site, seed);
            List<Observation> additional = new ArrayList<>();
            LoadReport report;
            try (ConfigurationReader reader = ConfigurationReader.start(site);
                    Operator operator = Operator.start(site)) {
                Training training = Training.start(site);
                Callers callers = Callers.start(site, rate, seed, kinds);
                schedule.run(System.currentTimeMillis() + length.toMillis());
                report = callers.stop();
                training.finish(site);
            }
            site.stopNodes();
            additional.addAll(schedule.observations());
            System.out.println("faults=" + schedule.count() + " load=" + report);
            return Promises.judge(site, additional.toArray(Observation[]::new));
        }
    }
}
