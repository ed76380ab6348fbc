package io.yuccaswitch.testkit.check;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.testkit.check.Observation.AttemptEnd;
import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import io.yuccaswitch.testkit.check.Observation.ConfigurationAccepted;
import io.yuccaswitch.testkit.check.Observation.ConfigurationRead;
import io.yuccaswitch.testkit.check.Observation.EndpointLeft;
import io.yuccaswitch.testkit.check.Observation.EndpointRefused;
import io.yuccaswitch.testkit.check.Observation.EndpointRun;
import io.yuccaswitch.testkit.check.Observation.GroupAccepted;
import io.yuccaswitch.testkit.check.Observation.NodeCrash;
import io.yuccaswitch.testkit.check.Observation.PlannedStop;
import io.yuccaswitch.testkit.check.Observation.PlatformFault;
import io.yuccaswitch.testkit.check.Observation.SampleReceived;
import io.yuccaswitch.testkit.check.Observation.Segment;
import io.yuccaswitch.testkit.check.Observation.Slot;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PromiseCheckerTest {

    private static final Slot SLOT = new Slot("matcher", 1, 0, 0);

    private final List<Observation> validObservations = List.of(
            attempt("vm-1@1/a", 100, 200, AttemptEnd.ANSWERED),
            run("ledger-1", "vm-1@1/a", 120),
            attempt("vm-1@1/b", 100, 200, AttemptEnd.NOT_RUN),
            attempt("vm-1@1/c", 100, 200, AttemptEnd.TIMED_OUT),
            attempt("vm-1@1/c", 210, 250, AttemptEnd.ANSWERED),
            run("ledger-2", "vm-1@1/c", 130),
            new EndpointLeft("ledger-1", 150, 9_000),
            new PlannedStop("vm-1", 150, 400),
            new GroupAccepted(SLOT, 1),
            new SampleReceived(SLOT, 4, List.of(new Segment(3, 2), new Segment(4, 1)), "t0v3 t1v3 t2v4 "),
            new EndpointRun("engine-1", "1", "s", 100, true, List.of(new Segment(3, 2), new Segment(4, 1))),
            new ConfigurationAccepted(2, 1_000),
            new ConfigurationRead("vm-1", 1, 900, 910),
            new ConfigurationRead("vm-1", 2, 1_100, 1_110),
            new ConfigurationRead("vm-2", 2, 6_050, 6_060),
            new ConfigurationRead("vm-2", 2, 9_050, 9_060));

    @Test
    void validObservationsBreakNoPromiseAndEachPromiseIsChecked() {
        assertThat(judge(validObservations)).allSatisfy(verdict -> {
            assertThat(verdict.breaches()).isEmpty();
            assertThat(verdict.judged()).isPositive();
        });
    }

    @Test
    void aSecondRunOfANonIdempotentRequestIsDetected() {
        assertBroken("runs at most once", run("ledger-2", "vm-1@1/a", 300));
    }

    @Test
    void aNotRunRefusalIsABreachIfTheRequestRanBeforeOrAfterIt() {
        assertBroken("says not run", run("ledger-2", "vm-1@1/b", 120));
        assertBroken("says not run", run("ledger-2", "vm-1@1/b", 900));
    }

    @Test
    void aNotRunRefusalIsABreachIfTheRequestRanBeforeItDespiteALaterAttempt() {
        assertBroken(
                "says not run", attempt("vm-1@1/b", 300, 400, AttemptEnd.ANSWERED), run("ledger-2", "vm-1@1/b", 120));
    }

    @Test
    void aNotRunRefusalIsNoBreachIfOnlyALaterAttemptRan() {
        assertThat(judge(with(attempt("vm-1@1/b", 300, 400, AttemptEnd.ANSWERED), run("ledger-2", "vm-1@1/b", 350))))
                .allMatch(Verdict::held);
    }

    @Test
    void anAnswerToAnotherRequestIsDetected() {
        assertBroken("own request", answer("vm-1@1/a", false, true));
    }

    @Test
    void aTruncatedAnswerIsDetected() {
        assertBroken("own request", answer("vm-1@1/a", true, false));
    }

    @Test
    void anAnswerWithoutARunIsDetected() {
        assertBroken("ran to its end", attempt("vm-1@1/z", 100, 200, AttemptEnd.ANSWERED));
    }

    @Test
    void aDuplicateSampleIsDetected() {
        assertBroken("delivered twice", new SampleReceived(SLOT, 4, List.of(new Segment(4, 1)), "t0v4 "));
    }

    @Test
    void aLostSampleIsDetected() {
        assertBroken("every accepted sample", new GroupAccepted(new Slot("matcher", 2, 0, 0), 1));
    }

    @Test
    void aSampleWhoseOldestSegmentExceedsTheStalenessBoundIsDetected() {
        assertBroken(
                "staleness bound",
                new SampleReceived(
                        new Slot("matcher", 1, 1, 0), 5, List.of(new Segment(3, 1), new Segment(4, 1)), "t0v3 t1v4 "));
    }

    @Test
    void aSampleLabelledWithAnotherVersionThanTheOneThatProducedItIsDetected() {
        assertBroken(
                "versions that produced it",
                new SampleReceived(new Slot("matcher", 1, 1, 0), 4, List.of(new Segment(4, 2)), "t0v3 t1v4 "));
    }

    @Test
    void aSampleWithARepeatedOrMissingTokenIsDetected() {
        assertBroken(
                "versions that produced it",
                new SampleReceived(new Slot("matcher", 1, 1, 0), 4, List.of(new Segment(4, 2)), "t0v4 t0v4 "));
        assertBroken(
                "versions that produced it",
                new SampleReceived(new Slot("matcher", 1, 1, 0), 4, List.of(new Segment(4, 2)), "t0v4 t2v4 "));
    }

    @Test
    void aSampleOfAVersionThatNoEngineRanIsDetected() {
        assertBroken(
                "versions that produced it",
                new SampleReceived(new Slot("matcher", 1, 1, 0), 9, List.of(new Segment(9, 1)), "t0v9 "));
    }

    @Test
    void aRequestToAnEndpointThatLeftBeforeTheBoundIsDetected() {
        EndpointRun late = run("ledger-1", "vm-1@1/late", 150 + 3_001);

        assertBroken("leaving endpoint", late);
        assertBroken("leaving endpoint", new EndpointRefused("ledger-1", "vm-1@1/late", 150 + 3_001));
        assertThat(judge(with(late, new NodeCrash("vm-3", 1_000, 2_000)))).allMatch(Verdict::held);
        assertThat(judge(with(run("ledger-1", "vm-1@1/new", 9_001)))).allMatch(Verdict::held);
    }

    @Test
    void aRequestInterruptedByAPlannedStopIsDetectedUnlessTheNodeAlsoCrashed() {
        CallerAttempt cut = attempt("vm-1@1/cut", 180, 300, AttemptEnd.CUT);

        assertBroken("planned stop", cut);
        assertThat(judge(with(cut, new NodeCrash("vm-1", 290, 310)))).allMatch(Verdict::held);
    }

    @Test
    void anOlderConfigurationAfterANewerOneIsDetected() {
        assertBroken("older configuration", new ConfigurationRead("vm-1", 1, 1_200, 1_210));
    }

    @Test
    void aConfigurationThatBecomesActiveLateIsDetected() {
        ConfigurationRead late = new ConfigurationRead("vm-2", 1, 6_001, 6_010);

        assertBroken("is in force", late);
        assertThat(judge(with(late, new PlatformFault(1_001, 2_000)))).allMatch(Verdict::held);
    }

    @Test
    void observationsAreReadBackAsWritten(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("observations.jsonl");
        try (ObservationLog log = new ObservationLog(file)) {
            validObservations.forEach(log::write);
        }

        assertThat(ObservationLog.read(file)).isEqualTo(validObservations);
    }

    private void assertBroken(String promise, Observation... additional) {
        assertThat(judge(with(additional)))
                .filteredOn(verdict -> !verdict.held())
                .extracting(Verdict::promise)
                .singleElement()
                .asString()
                .contains(promise);
    }

    private List<Observation> with(Observation... additional) {
        List<Observation> all = new ArrayList<>(validObservations);
        all.addAll(List.of(additional));
        return all;
    }

    private static List<Verdict> judge(List<Observation> observations) {
        return PromiseChecker.ofAll(
                        Map.of("matcher", 1), PromiseChecker.LEAVING_BOUND, PromiseChecker.CONFIGURATION_BOUND)
                .judge(new Observations(observations));
    }

    private static CallerAttempt attempt(String id, long sentAt, long endedAt, AttemptEnd end) {
        return new CallerAttempt(id, "vm-1", false, sentAt, endedAt, end, true, true, "");
    }

    private static CallerAttempt answer(String id, boolean own, boolean whole) {
        return new CallerAttempt(id, "vm-1", false, 100, 200, AttemptEnd.ANSWERED, own, whole, "");
    }

    private static EndpointRun run(String endpoint, String id, long startedAt) {
        return new EndpointRun(endpoint, endpoint + startedAt, id, startedAt, true, List.of());
    }
}
