package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEvent;
import java.util.Optional;

/**
 * Runs jobs that another node has accepted for this one, as soon as the message arrives. The index contains the same
 * information shortly afterwards, so a lost message only delays the job until then.
 */
final class JobHandOverSystem implements DecisionSystem {

    /** The tables of the batch system. */
    private final BatchState state;

    /** Computes the deadlines of jobs. */
    private final JobTimeouts jobTimeouts;

    /** Whether this node is about to stop. */
    private boolean leaving;

    /**
     * Creates a system.
     *
     * @param state The tables of the batch system.
     * @param jobTimeouts Computes the deadlines of jobs.
     */
    JobHandOverSystem(BatchState state, JobTimeouts jobTimeouts) {
        this.state = state;
        this.jobTimeouts = jobTimeouts;
    }

    @Override
    public void run(Tick tick) {
        leaving |= !tick.events(BatchEvent.Leaving.class).isEmpty();
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof BatchMessage.HandedOver handed) {
                state.codec()
                        .readJob(handed.job())
                        .ifPresent(job -> accept(tick, job, received.sender().name()));
            }
        }
    }

    /**
     * Runs a job unless this node is leaving, has already handled it, or is not its runner.
     *
     * @param tick The tick.
     * @param job The job.
     * @param sender The node that accepted it.
     */
    private void accept(Tick tick, BatchJob job, NodeName sender) {
        boolean alreadyHandled =
                state.running().contains(job.id()) || state.finished().contains(job.id());
        Optional<BatchIndex.Row> row = state.index().find(job.id());
        boolean assignedElsewhere = row.filter(found -> !found.entry()
                        .runner()
                        .equals(state.membership().self().identity().name()))
                .isPresent();
        if (leaving || alreadyHandled || assignedElsewhere) {
            tick.decide(Decision.of("batch-job", job.id().value(), "not taken", "handed over by " + sender));
            return;
        }
        ResultLog log = state.log(job.id(), job.items().size(), tick.now());
        state.run(
                tick,
                job,
                log,
                jobTimeouts.deadline(job, tick.now()),
                new StoredTexts(),
                JobStart.from(JobStart.Cause.HANDED_OVER, sender));
    }
}
