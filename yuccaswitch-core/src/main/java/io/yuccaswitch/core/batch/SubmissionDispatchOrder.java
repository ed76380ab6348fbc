package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;

/** Starts the items of jobs in the order of their submission. */
final class SubmissionDispatchOrder implements DispatchOrder {

    /**
     * The order of waiting items: interrupted items resume first. They were started early because they are long, and
     * their groups wait for the lost progress.
     */
    private static final Comparator<RunningItem> INTERRUPTED_FIRST =
            Comparator.comparing(item -> item.text().isEmpty());

    /** The tables of the batch system. */
    private final BatchState state;

    /** Chooses engines. */
    private final EngineChoice choice;

    /**
     * Creates an order.
     *
     * @param state The tables of the batch system.
     * @param choice Chooses engines.
     */
    SubmissionDispatchOrder(BatchState state, EngineChoice choice) {
        this.state = state;
        this.choice = choice;
    }

    @Override
    public List<Share> shares(Tick _tick) {
        return state.running().rows().stream()
                .sorted(Comparator.comparingLong(job -> job.job().submittedAt()))
                .map(job -> new Share(
                        job, job.waiting().stream().sorted(INTERRUPTED_FIRST).toList(), OptionalInt.empty()))
                .toList();
    }

    @Override
    public long startable(Tick tick, Share share, List<RegisteredEndpoint> engines) {
        return choice.startable(tick, share.job(), engines);
    }

    @Override
    public void recordStart(Share _share) {}
}
