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

/** Judges the promises from files of observations, and fails if one is broken. */
@Parameters(commandDescription = "Judge the promises from files of observations")
public final class CheckCommand implements TestkitCommand {

    /** The files of observations. */
    @Parameter(description = "FILE...", required = true)
    private List<Path> files = new ArrayList<>();

    /** The staleness bounds. */
    @Parameter(names = "--staleness-bound", description = "Staleness bound of a trainer, as trainer=versions")
    private List<String> bounds = new ArrayList<>();

    /** The time after which a leaving endpoint gets nothing. */
    @Parameter(names = "--leaving-millis", description = "Time after which a leaving endpoint gets nothing")
    private long leavingMillis = PromiseChecker.LEAVING_BOUND.toMillis();

    /** The time after which an accepted configuration is in force. */
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
            throw new IllegalStateException("a promise is broken");
        }
    }

    /**
     * Reads the staleness bounds.
     *
     * @return The bounds by the names of the trainers.
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
