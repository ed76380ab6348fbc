package io.yuccaswitch.testkit.check;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks a list of promises.
 *
 * @param promises The promises to check.
 */
public record PromiseChecker(List<Promise> promises) {

    /** The time after which a leaving endpoint must receive no further requests. */
    public static final Duration LEAVING_BOUND = Duration.ofSeconds(3);

    /** The time after which an accepted configuration must be active on every node. */
    public static final Duration CONFIGURATION_BOUND = Duration.ofSeconds(5);

    /** The maximum number of breaches that are printed for each promise. */
    private static final int MAXIMUM_PRINTED_BREACHES = 5;

    /** Copies the promises. */
    public PromiseChecker {
        promises = List.copyOf(promises);
    }

    /**
     * Creates a checker of all promises.
     *
     * @param stalenessBounds The staleness bounds by trainer name.
     * @param leavingBound The time after which a leaving endpoint must receive no further requests.
     * @param configurationBound The time after which an accepted configuration must be active on every node.
     * @return The checker.
     */
    public static PromiseChecker ofAll(
            Map<String, Integer> stalenessBounds, Duration leavingBound, Duration configurationBound) {
        return new PromiseChecker(List.of(
                new RequestPromise.AtMostOnce(),
                new RequestPromise.AccurateRefusals(),
                new RequestPromise.CompleteOwnAnswers(),
                new RequestPromise.AnswersFromCompletedRuns(),
                new SamplePromise.NoDuplicates(),
                new SamplePromise.NoLosses(),
                new SamplePromise.WithinStalenessBound(stalenessBounds),
                new SamplePromise.AccuratelyLabelled(),
                new StopPromise.LeavingEndpointsReceiveNothing(leavingBound),
                new StopPromise.PlannedStopsInterruptNothing(),
                new ConfigurationPromise.NeverReverts(),
                new ConfigurationPromise.ActiveWithinBound(configurationBound)));
    }

    /**
     * Checks a list of promises.
     *
     * @param observations All observations of the run.
     * @return A verdict for each promise.
     */
    public List<Verdict> judge(Observations observations) {
        return promises.stream().map(promise -> promise.judge(observations)).toList();
    }

    /**
     * Formats verdicts as text.
     *
     * @param verdicts The verdicts.
     * @return One line for each verdict, followed by one line for each of its first breaches.
     */
    public static String describe(List<Verdict> verdicts) {
        StringBuilder text = new StringBuilder();
        for (Verdict verdict : verdicts) {
            String state = verdict.held() ? verdict.judged() == 0 ? "not judged" : "held" : "BROKEN";
            text.append(String.format(
                    Locale.ROOT,
                    "%-10s  %-60s %7d judged, %d breaches%n",
                    state,
                    verdict.promise(),
                    verdict.judged(),
                    verdict.breaches().size()));
            verdict.breaches().stream().limit(MAXIMUM_PRINTED_BREACHES).forEach(breach -> text.append("            ")
                    .append(breach)
                    .append(System.lineSeparator()));
        }
        return text.toString();
    }
}
