package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Reports the engine loads of this node to the other nodes that run jobs. Only these nodes exchange messages, a few in
 * each interval, so the number of messages grows with the open jobs and not with the nodes. The node that orders loads
 * of versions takes part while engines lag, and also sends its report to the nodes that have run jobs recently: such a
 * node then reports to it as soon as its next job begins.
 */
final class LoadSharingSystem implements DecisionSystem {

    /** The interval between two reports, well below the duration of an item. */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

    /** The maximum number of nodes that receive a report. */
    private static final int MAXIMUM_RECIPIENTS = 16;

    /** The tables of the batch system. */
    private final BatchState state;

    /** Reads the steps of this node. */
    private final StepReader steps;
    /** The memory of the engines. */
    private final EngineMemory memory;

    /** When the next report is due. */
    private MonotonicTime nextAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a system.
     *
     * @param state The tables of the batch system.
     */
    LoadSharingSystem(BatchState state) {
        this.state = state;
        steps = new StepReader(state);
        memory = new EngineMemory(state);
    }

    @Override
    public void run(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof BatchMessage.EnginesInUse inUse) {
                if (!state.remoteLoads().nodes().contains(received.sender().name())) {
                    nextAt = tick.now();
                }
                state.remoteLoads().update(received.sender().name(), inUse, tick.now());
            }
        }
        state.remoteLoads().removeStale(tick.now());
        boolean isFollowed = state.remoteLoads().isFollowed(tick.now());
        if ((state.running().size() == 0 && !isFollowed) || tick.now().isBefore(nextAt)) {
            return;
        }
        nextAt = tick.now().plus(REPORT_INTERVAL);
        Collection<NodeName> others = state.otherRunners();
        if (isFollowed) {
            state.remoteLoads().recordRunners(others, tick.now());
            others = state.remoteLoads().withRecentRunners(others);
        }
        if (others.isEmpty()) {
            return;
        }
        BatchMessage.EnginesInUse inUse =
                new BatchMessage.EnginesInUse(state.loads().running(), tokens(), slowMillis(tick), demands(tick));
        others.stream().limit(MAXIMUM_RECIPIENTS).forEach(node -> tick.emit(new PeerEffect.Send(node, inUse)));
    }

    /**
     * Returns for how long this node's own readings have shown engines as slow.
     *
     * @param tick The tick.
     * @return The durations in milliseconds, or none unless nodes share the speeds of engines.
     */
    private Map<EndpointName, Long> slowMillis(Tick tick) {
        return state.options().sharedSpeeds() ? state.speeds().report(tick.now()) : Map.of();
    }

    /**
     * Returns the tokens that this node's items are expected to occupy in the memory of each engine.
     *
     * @return The tokens by engine, or none unless the options ask for them.
     */
    private Map<EndpointName, Long> tokens() {
        return state.options().engineMemory() ? memory.ownTokens() : Map.of();
    }

    /**
     * Returns the jobs of this node that wait for slots.
     *
     * @param tick The tick.
     * @return The jobs.
     */
    private List<BatchMessage.Demand> demands(Tick tick) {
        if (state.options().stepOrder()) {
            return steps.demands(tick.now());
        }
        List<BatchMessage.Demand> demands = new ArrayList<>();
        for (RunningJob running : state.running().rows()) {
            int waiting = running.waiting().size();
            if (waiting > 0) {
                BatchJob job = running.job();
                demands.add(new BatchMessage.Demand(job.model(), job.submittedAt(), waiting, 0));
            }
        }
        return demands;
    }
}
