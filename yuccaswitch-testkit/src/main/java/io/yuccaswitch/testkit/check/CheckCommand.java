package io.yuccaswitch.testkit.check;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.yuccaswitch.testkit.TestkitCommand;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the promises against recorded observations and fails if one is broken. */
@Parameters(commandDescription = "Check the promises against files of observations")
public final class CheckCommand implements TestkitCommand {

    /** The files that contain the observations. */
    @Parameter(description = "FILE...", required = true)
    private List<Path> files = new ArrayList<>();

    /** The staleness bounds, each as {@code trainer=versions}. */
    @Parameter(names = "--staleness-bound", description = "Staleness bound of a trainer, as trainer=versions")
    private List<String> bounds = new ArrayList<>();

    /** The time in milliseconds after which a leaving endpoint must receive no further requests. */
    @Parameter(names = "--leaving-millis", description = "Time after which a leaving endpoint receives no requests")
    private long leavingMillis = PromiseChecker.LEAVING_BOUND.toMillis();

    /** The time in milliseconds after which an accepted configuration must be active on every node. */
    @Parameter(names = "--configuration-millis", description = "Time after which a configuration is in force")
    private long configurationMillis = PromiseChecker.CONFIGURATION_BOUND.toMillis();

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "check";
    }

    /** {@inheritDoc} */
    @Override
    public void run() throws IOException {
        List<Observation> observations = new ArrayList<>();
        for (Path file : files) {
            observations.addAll(ObservationLog.read(file));
        }
        PromiseChecker checker = PromiseChecker.ofAll(
                stalenessBounds(), Duration.ofMillis(leavingMillis), Duration.ofMillis(configurationMillis));
        List<Verdict> verdicts = checker.judge(new Observations(observations));
        System.out.print(PromiseChecker.describe(verdicts));
        if (!verdicts.stream().allMatch(Verdict::held)) {
            throw new IllegalStateException("at least one promise is broken, see the verdicts printed above");
        }
    }

    /**
     * Parses the staleness bounds.
     *
     * @return The bounds by trainer name.
     */
    private Map<String, Integer> stalenessBounds() {
        Map<String, Integer> byTrainer = new HashMap<>();
        for (String bound : bounds) {
            int separator = bound.lastIndexOf('=');
            byTrainer.put(bound.substring(0, separator), Integer.parseInt(bound.substring(separator + 1)));
        }
        return byTrainer;
    }
}
