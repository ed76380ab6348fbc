package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;

/**
 * Breaks off attempts at engines that have started again since. Such an engine knows nothing of them, and where its
 * connections fell silent their end would show only after seconds; the item goes on elsewhere with the events it has.
 */
final class RestartedEngineSystem implements DecisionSystem {

    /** What the systems of batch jobs share. */
    private final BatchState state;

    /** The state of the registry that was looked at. */
    private long seen;

    /**
     * Creates a system.
     *
     * @param state What the systems of batch jobs share.
     */
    RestartedEngineSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        long changes = state.registry().changes();
        if (changes == seen) {
            return;
        }
        seen = changes;
        for (RunningJob job : state.running().rows()) {
            for (RunningItem item : job.items()) {
                item.endpoint()
                        .filter(engine -> !item.isMoving() && state.registry().hasStartedAgain(engine))
                        .ifPresent(engine -> state.move(tick, job, item, engine + " has started again"));
            }
        }
    }
}
