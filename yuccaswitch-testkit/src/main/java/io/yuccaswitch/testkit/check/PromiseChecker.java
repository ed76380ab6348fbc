package io.yuccaswitch.testkit.check;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Judges all promises.
 *
 * @param promises The promises to judge.
 */
public record PromiseChecker(List<Promise> promises) {

    /** The time after which a leaving endpoint gets nothing. */
    public static final Duration LEAVING_BOUND = Duration.ofSeconds(3);

    /** The time after which an accepted configuration is in force. */
    public static final Duration CONFIGURATION_BOUND = Duration.ofSeconds(5);

    /** The largest number of breaches of one promise that are printed. */
    private static final int PRINTED_BREACHES = 5;

    /** Copies the promises. */
    public PromiseChecker {
        promises = List.copyOf(promises);
    }

    /**
     * Creates a checker of all promises.
     *
     * @param stalenessBounds The staleness bounds by the names of the trainers.
     * @param leavingBound The time after which a leaving endpoint gets nothing.
     * @param configurationBound The time after which an accepted configuration is in force.
     * @return The checker.
     */
    public static PromiseChecker ofAll(
            Map<String, Integer> stalenessBounds, Duration leavingBound, Duration configurationBound) {
        return new PromiseChecker(List.of(
                new RequestPromise.AtMostOnce(),
                new RequestPromise.TrueRefusals(),
                new RequestPromise.WholeOwnAnswers(),
                new RequestPromise.AnswersRan(),
                new SamplePromise.NoneDoubled(),
                new SamplePromise.NoneLost(),
                new SamplePromise.Fresh(stalenessBounds),
                new SamplePromise.TrulyLabelled(),
                new StopPromise.LeavingEndpointsRest(leavingBound),
                new StopPromise.PlannedStopsCutNothing(),
                new ConfigurationPromise.NeverReverts(),
                new ConfigurationPromise.InForceSoon(configurationBound)));
    }

    /**
     * Judges all promises.
     *
     * @param observations Everything that was observed.
     * @return A verdict for each promise.
     */
    public List<Verdict> judge(Observations observations) {
        return promises.stream().map(promise -> promise.judge(observations)).toList();
    }

    /**
     * Writes verdicts as text.
     *
     * @param verdicts The verdicts.
     * @return One line for each verdict, and one for each of the first breaches.
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
            verdict.breaches().stream().limit(PRINTED_BREACHES).forEach(breach -> text.append("            ")
                    .append(breach)
                    .append(System.lineSeparator()));
        }
        return text.toString();
    }
}
