package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Lists results on the platform. Each object of results is created under the number behind the last known one, such
 * that of two nodes that run one job only one creates it; the other reads the winner's and goes on behind it.
 */
final class BatchCommitSystem implements DecisionSystem {

    /** The pause between two objects of one job. Each has a price, and a trainer reads about twice a second. */
    private static final Duration INTERVAL = Duration.ofMillis(300);

    /** The wait after a call that failed. */
    private static final Duration FAILURE_WAIT = Duration.ofMillis(200);

    /** The largest size of the outputs in one object, in bytes. Encoded, they stay well below a megabyte. */
    private static final long OBJECT_BYTES = 300_000;

    /** The tables of the batch system. */
    private final BatchState state;

    /**
     * Creates a system without results.
     *
     * @param state The tables of the batch system.
     */
    BatchCommitSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        for (RunningJob job : state.running().rows()) {
            List<BatchResult> pending = job.pending();
            if (!pending.isEmpty() && job.mayCommit(tick.now())) {
                commit(tick, job, firstOf(pending));
            }
        }
    }

    /**
     * Sends results to the platform.
     *
     * @param tick The tick.
     * @param job The job.
     * @param results The results.
     */
    private void commit(Tick tick, RunningJob job, List<BatchResult> results) {
        BatchJobId id = job.job().id();
        ResultLog log = state.log(id, job.job().items().size(), tick.now());
        int number = log.objects();
        job.beginCommit();
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.Write(
                                token,
                                PlatformPurpose.BATCH,
                                BatchObjects.results(id, number),
                                OptionalLong.empty(),
                                state.codec().writeResults(results)),
                        (later, event) -> receive(later, new Commit(job, log, number), results, event));
    }

    /**
     * Takes the platform's answer.
     *
     * @param tick The tick.
     * @param commit What was sent.
     * @param results The results that were sent.
     * @param event The answer.
     */
    private void receive(Tick tick, Commit commit, List<BatchResult> results, PlatformEvent event) {
        if (event instanceof PlatformEvent.Accepted) {
            append(tick, commit, results, "listed");
            return;
        }
        Optional<List<BatchResult>> stored = Optional.empty();
        if (event instanceof PlatformEvent.Conflict conflict) {
            stored = conflict.current().map(StoredObject::value).flatMap(value -> state.codec()
                    .readResults(value));
        }
        if (stored.isPresent()) {
            append(tick, commit, stored.get(), "listed before");
            return;
        }
        commit.job().endCommit(tick.now().plus(FAILURE_WAIT));
        tick.decide(Decision.of(
                "batch-results",
                commit.job().job().id().value(),
                "not listed",
                "the platform answered " + event.getClass().getSimpleName()));
    }

    /**
     * Takes results that lie on the platform, unless a reader has found them there already.
     *
     * @param tick The tick.
     * @param commit What was sent.
     * @param results The results.
     * @param choice What happened, for logs.
     */
    private void append(Tick tick, Commit commit, List<BatchResult> results, String choice) {
        BatchJobId id = commit.job().job().id();
        if (commit.log().objects() == commit.number()) {
            commit.log().append(results);
        }
        tick.decide(Decision.of(
                "batch-results",
                id.value(),
                choice,
                "object " + commit.number() + " with " + results.size() + " results, "
                        + commit.log().size() + " in all"));
        state.drop(tick, id, results);
        commit.job().endCommit(tick.now().plus(commit.job().isFinished() ? Duration.ZERO : INTERVAL));
    }

    /**
     * Returns as many results as fit one object.
     *
     * @param pending The results that are not listed.
     * @return The first of them.
     */
    private static List<BatchResult> firstOf(List<BatchResult> pending) {
        List<BatchResult> first = new ArrayList<>();
        long size = 0;
        for (BatchResult result : pending) {
            size += result.output().size();
            if (!first.isEmpty() && size > OBJECT_BYTES) {
                break;
            }
            first.add(result);
        }
        return first;
    }

    /**
     * Results that were sent to the platform.
     *
     * @param job The job.
     * @param log The job's log.
     * @param number The number of the object.
     */
    private record Commit(RunningJob job, ResultLog log, int number) {}
}
