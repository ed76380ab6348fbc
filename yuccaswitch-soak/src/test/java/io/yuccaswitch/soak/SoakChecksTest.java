package io.yuccaswitch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.adapter.standin.CallerStandIn.ItemResult;
import io.yuccaswitch.adapter.standin.CallerStandIn.Page;
import io.yuccaswitch.adapter.standin.CallerStandIn.Reply;
import io.yuccaswitch.adapter.standin.EngineStandIn.AcceptedOrder;
import io.yuccaswitch.adapter.standin.EngineStandIn.ReceivedRequest;
import io.yuccaswitch.soak.SoakHistory.Plain;
import io.yuccaswitch.soak.SoakHistory.Read;
import io.yuccaswitch.soak.SoakHistory.Submission;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each check detects a violation that is added to a history without violations. */
final class SoakChecksTest {

    private final SoakHistory history = new SoakHistory();

    @BeforeEach
    void recordARunWithoutViolations() {
        history.plain.add(new Plain("a", true, answer("answer to a")));
        history.plain.add(new Plain("b", true, refusal()));
        history.submissions.add(new Submission("job", 2, 1, reply(202)));
        history.submissions.add(new Submission("refused", 2, 1, refusal()));
        history.reads.add(read(
                0, listed("job-0", SoakChecks.COMPLETE_OUTPUT, 1), listed("job-1", SoakChecks.COMPLETE_OUTPUT, 1)));
        history.reads.add(read(1, listed("job-1", SoakChecks.COMPLETE_OUTPUT, 1)));
        history.runs.put("i-1", List.of(run("a", 1), run("job-0", 1), run("job-1", 1), scoring("job-0", 5)));
        history.orders.put("i-1", List.of(order(0, "n1", 1), order(2000, "n2", 2)));
    }

    @Test
    void aRunWithoutViolationsPassesAllChecks() {
        assertThat(SoakChecks.violations(history)).isEmpty();
    }

    @Test
    void aRequestThatRanTwiceIsDetected() {
        history.runs.put("i-2", List.of(run("a", 1)));
        assertThat(SoakChecks.requestsThatRanTwice(history)).hasSize(1);
    }

    @Test
    void aRefusalOfARequestThatRanIsDetected() {
        history.runs.put("i-2", List.of(run("b", 1)));
        assertThat(SoakChecks.refusalsOfRequestsThatRan(history)).hasSize(1);
    }

    @Test
    void theAnswerOfAnotherRequestIsDetected() {
        history.plain.add(new Plain("c", false, answer("answer to a")));
        assertThat(SoakChecks.wrongAnswers(history)).hasSize(1);
    }

    @Test
    void anItemAtTwoPositionsIsDetected() {
        history.reads.add(read(2, listed("job-0", SoakChecks.COMPLETE_OUTPUT, 1)));
        assertThat(SoakChecks.itemsListedTwice(history)).hasSize(1);
    }

    @Test
    void aPositionThatChangesIsDetected() {
        history.reads.add(read(0, listed("job-1", SoakChecks.COMPLETE_OUTPUT, 1)));
        assertThat(SoakChecks.changedPositions(history)).hasSize(1);
    }

    @Test
    void anIncompleteOutputIsDetected() {
        history.reads.add(read(0, listed("job-0", "e1\ne2", 1)));
        assertThat(SoakChecks.wrongOutputs(history)).hasSize(1);
    }

    @Test
    void aVersionThatDidNotProduceTheItemIsDetected() {
        history.reads.add(read(0, listed("job-0", SoakChecks.COMPLETE_OUTPUT, 7)));
        assertThat(SoakChecks.wrongVersions(history)).hasSize(1);
    }

    @Test
    void aVersionBelowTheMinimumIsDetected() {
        history.submissions.add(new Submission("job", 2, 2, reply(202)));
        assertThat(SoakChecks.wrongVersions(history)).hasSize(2);
    }

    @Test
    void theScoreOfAnotherRequestIsDetected() {
        history.reads.add(
                read(0, new ItemResult("job-0", true, SoakChecks.COMPLETE_OUTPUT, List.of(1L), "score-s-job-1")));
        assertThat(SoakChecks.wrongScores(history)).hasSize(1);
    }

    @Test
    void aScoringRequestBeforeItsItemRanIsDetected() {
        history.runs.put("i-2", List.of(scoring("job-1", -5)));
        assertThat(SoakChecks.scoringBeforeOutput(history)).hasSize(1);
    }

    @Test
    void aRefusedJobThatRanIsDetected() {
        history.runs.put("i-2", List.of(run("refused-0", 1)));
        assertThat(SoakChecks.refusedJobsThatRan(history)).hasSize(1);
        history.runs.put("i-3", List.of(scoring("refused-0", 5)));
        assertThat(SoakChecks.refusedJobsThatRan(history)).hasSize(2);
        history.submissions.add(new Submission("refused", 2, 1, Optional.empty()));
        assertThat(SoakChecks.refusedJobsThatRan(history))
                .as("an attempt without an answer may have been accepted")
                .isEmpty();
    }

    @Test
    void conflictingOrdersAndLowerFencingNumbersAreDetected() {
        history.orders.put("i-2", List.of(order(0, "n1", 1), order(300, "n2", 2)));
        history.orders.put("i-3", List.of(order(0, "n1", 1), order(2000, "n2", 1)));
        history.orders.put("i-4", List.of(order(0, "n1", 2), order(2000, "n1", 1)));
        assertThat(SoakChecks.ordersOfTwoHolders(history)).hasSize(3);
    }

    private static Optional<Reply> answer(String body) {
        return Optional.of(new Reply(200, true, false, body));
    }

    private static Optional<Reply> refusal() {
        return Optional.of(new Reply(503, false, true, ""));
    }

    private static Optional<Reply> reply(int status) {
        return Optional.of(new Reply(status, false, false, ""));
    }

    private static Read read(int after, ItemResult... results) {
        return new Read("job", "node-1", new Page(200, after, List.of(results)));
    }

    private static ItemResult listed(String item, String output, long version) {
        return new ItemResult(item, true, output, List.of(version), "score-s-" + item);
    }

    private static ReceivedRequest scoring(String item, long nanoseconds) {
        return new ReceivedRequest("s-" + item, "/plain/score/x", "100", null, 1, nanoseconds, List.of(), List.of());
    }

    private static ReceivedRequest run(String id, long version) {
        return new ReceivedRequest(id, "/x", "100", null, version, 0, List.of(), List.of());
    }

    private static AcceptedOrder order(long millis, String holder, long fence) {
        return new AcceptedOrder(millis * 1_000_000, holder, fence, 2);
    }
}
