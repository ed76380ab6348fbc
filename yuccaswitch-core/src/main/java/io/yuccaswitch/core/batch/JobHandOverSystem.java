package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEvent;
import java.util.Optional;

/**
 * Runs jobs that another node has accepted for this one, as soon as it says so. The index says the same a moment later,
 * so that a message that gets lost costs no more than that moment.
 */
final class JobHandOverSystem implements DecisionSystem {

    /** The tables of the batch system. */
    private final BatchState state;

    /** Finds out when a job is given up. */
    private final GiveUpTimes giveUpTimes;

    /** Whether this node is about to stop. */
    private boolean leaving;

    /**
     * Creates a system that has got nothing.
     *
     * @param state The tables of the batch system.
     * @param giveUpTimes Finds out when a job is given up.
     */
    JobHandOverSystem(BatchState state, GiveUpTimes giveUpTimes) {
        this.state = state;
        this.giveUpTimes = giveUpTimes;
    }

    @Override
    public void run(Tick tick) {
        leaving |= !tick.events(BatchEvent.Leaving.class).isEmpty();
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof BatchMessage.HandedOver handed) {
                state.codec()
                        .readJob(handed.job())
                        .ifPresent(job -> take(tick, job, received.sender().name()));
            }
        }
    }

    /**
     * Takes a job.
     *
     * @param tick The tick.
     * @param job The job.
     * @param sender The node that accepted it.
     */
    private void take(Tick tick, BatchJob job, NodeName sender) {
        boolean known = state.running().contains(job.id()) || state.finished().contains(job.id());
        Optional<BatchIndex.Row> row = state.index().find(job.id());
        boolean others = row.filter(found -> !found.entry()
                        .runner()
                        .equals(state.membership().self().identity().name()))
                .isPresent();
        if (leaving || known || others) {
            tick.decide(Decision.of("batch-job", job.id().value(), "not taken", "handed over by " + sender));
            return;
        }
        ResultLog log = state.log(job.id(), job.items().size(), tick.now());
        state.run(tick, job, log, giveUpTimes.of(job, tick.now()), new KeptTexts());
    }
}
