package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.modelversion.ModelDemand;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.List;

/** The demand of the batch jobs: those of this node, those in the index, and those that other nodes reported. */
final class BatchDemand implements ModelDemand {

    /** The tables of the batch system. */
    private final BatchState state;

    /**
     * Creates a view.
     *
     * @param state The tables of the batch system.
     */
    BatchDemand(BatchState state) {
        this.state = state;
    }

    @Override
    public boolean hasOpenJob(String model) {
        return state.running().view().stream().anyMatch(job -> job.job().model().equals(model))
                || state.remoteLoads().waiting(model) > 0
                || state.index().open().stream()
                        .anyMatch(row -> row.entry().model().equals(model));
    }

    @Override
    public int waiting(String model) {
        int own = state.running().view().stream()
                .filter(job -> job.job().model().equals(model))
                .mapToInt(job -> job.waiting().size())
                .sum();
        return own + state.remoteLoads().waiting(model);
    }

    @Override
    public int reportingNodes() {
        return state.remoteLoads().nodes().size();
    }

    @Override
    public List<NodeName> runners() {
        return state.remoteLoads().withRecentRunners(state.otherRunners());
    }

    @Override
    public void followUntil(MonotonicTime until) {
        state.remoteLoads().followUntil(until);
    }
}
