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

    /** Starts jobs. */
    private final JobLoader loader;

    /** Whether this node is about to stop. */
    private boolean leaving;

    /**
     * Creates a system.
     *
     * @param state The tables of the batch system.
     * @param loader Starts jobs.
     */
    JobHandOverSystem(BatchState state, JobLoader loader) {
        this.state = state;
        this.loader = loader;
    }

    @Override
    public void run(Tick tick) {
        leaving |= !tick.events(BatchEvent.Leaving.class).isEmpty();
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof BatchMessage.HandedOver handed) {
                state.codec()
                        .readJob(handed.job())
                        .ifPresent(job -> accept(
                                tick, job, handed.created(), received.sender().name()));
            }
        }
    }

    /**
     * Runs a job unless this node is leaving, has already started it, or is not its runner.
     *
     * @param tick The tick.
     * @param job The job.
     * @param created Whether the sender has just created the job's entry.
     * @param sender The node that accepted it.
     */
    private void accept(Tick tick, BatchJob job, boolean created, NodeName sender) {
        Optional<BatchIndex.Row> row = state.index().find(job.id());
        boolean assignedElsewhere = row.filter(found -> !found.entry()
                        .runner()
                        .equals(state.membership().self().identity().name()))
                .isPresent();
        if (leaving || assignedElsewhere || loader.isStarted(job.id())) {
            tick.decide(Decision.of("batch-job", job.id().value(), "not taken", "handed over by " + sender));
            return;
        }
        JobStart start = JobStart.from(JobStart.Cause.HANDED_OVER, sender);
        if (created) {
            loader.startCreated(tick, job, start);
        } else {
            loader.load(tick, job, start);
        }
    }
}
