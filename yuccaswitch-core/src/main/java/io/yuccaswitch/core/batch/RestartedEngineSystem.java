package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;

/**
 * Cancels attempts at engines that have restarted since the attempt started. A restarted engine has no state of these
 * attempts, and if its connections became silent, the loss would be detected only after seconds. The item resumes at
 * another engine after the events that it has.
 */
final class RestartedEngineSystem implements DecisionSystem {

    /** The tables of the batch system. */
    private final BatchState state;

    /** The change count of the registry that was last processed. */
    private long processedChanges;

    /**
     * Creates a system.
     *
     * @param state The tables of the batch system.
     */
    RestartedEngineSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        long changes = state.registry().changeCount();
        if (changes == processedChanges) {
            return;
        }
        processedChanges = changes;
        for (RunningJob job : state.running().rows()) {
            for (RunningItem item : job.items()) {
                item.endpoint()
                        .filter(engine -> !item.isMoving() && state.registry().hasRestarted(engine))
                        .ifPresent(engine -> state.move(tick, job, item, engine + " has restarted"));
            }
        }
    }
}
