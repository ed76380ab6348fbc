package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Tells the other nodes that run jobs what this one has at the engines. Only these exchange messages, a few in each
 * interval, so the cost grows with the jobs that are open and not with the nodes.
 */
final class LoadSharingSystem implements DecisionSystem {

    /** The interval, well below the time that an item takes. */
    private static final Duration INTERVAL = Duration.ofMillis(100);

    /** The largest number of nodes that are told. */
    private static final int NODES = 16;

    /** What the systems of batch jobs share. */
    private final BatchState state;

    /** When the others are told next. */
    private MonotonicTime nextAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a system.
     *
     * @param state What the systems of batch jobs share.
     */
    LoadSharingSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof BatchMessage.EnginesInUse inUse) {
                if (!state.runners().nodes().contains(received.sender().name())) {
                    nextAt = tick.now();
                }
                state.runners().take(received.sender().name(), inUse, tick.now());
            }
        }
        state.runners().forget(tick.now());
        if (state.running().size() == 0 || tick.now().isBefore(nextAt)) {
            return;
        }
        nextAt = tick.now().plus(INTERVAL);
        Set<NodeName> others = state.otherRunners();
        if (others.isEmpty()) {
            return;
        }
        BatchMessage.EnginesInUse inUse =
                new BatchMessage.EnginesInUse(state.loads().running(), demands());
        others.stream().limit(NODES).forEach(node -> tick.emit(new PeerEffect.Send(node, inUse)));
    }

    /**
     * Returns the jobs of this node that wait for places.
     *
     * @return The jobs.
     */
    private List<BatchMessage.Demand> demands() {
        List<BatchMessage.Demand> demands = new ArrayList<>();
        for (RunningJob running : state.running().rows()) {
            int waiting = running.waiting().size();
            if (waiting > 0) {
                BatchJob job = running.job();
                demands.add(new BatchMessage.Demand(job.model(), job.submittedAt(), waiting));
            }
        }
        return demands;
    }
}
