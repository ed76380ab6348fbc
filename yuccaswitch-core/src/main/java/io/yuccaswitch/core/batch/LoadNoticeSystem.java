package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.modelversion.OrderEvent;
import io.yuccaswitch.core.modelversion.OrderMessage;
import io.yuccaswitch.core.peer.PeerEvent;
import java.time.Duration;

/** Records which engines are about to load versions, from the notices of this node and of other nodes. */
final class LoadNoticeSystem implements DecisionSystem {

    /** The tables of the batch system. */
    private final BatchState state;

    /**
     * Creates a system.
     *
     * @param state The tables of the batch system.
     */
    LoadNoticeSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        if (!state.options().coordinatedLoads()) {
            return;
        }
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof OrderMessage message) {
                handle(tick, received.sender().name(), message);
            }
        }
        NodeName self = state.membership().self().identity().name();
        tick.events(OrderEvent.LoadNotified.class).forEach(notified -> handle(tick, self, notified.message()));
    }

    /**
     * Handles a notice.
     *
     * @param tick The tick.
     * @param sender The node that orders the load.
     * @param message The notice, or another message about orders.
     */
    private void handle(Tick tick, NodeName sender, OrderMessage message) {
        if (message instanceof OrderMessage.LoadEnded ended) {
            state.notices().end(sender, ended.engine(), ended.model());
        }
        if (message instanceof OrderMessage.LoadAnnounced load) {
            boolean isNew = state.notices()
                    .begin(
                            sender,
                            load.engine(),
                            load.model(),
                            load.version(),
                            tick.now(),
                            Duration.ofMillis(load.durationMillis()));
            if (isNew && state.running().size() > 0) {
                tick.decide(Decision.of(
                        "engine-load",
                        load.engine().value(),
                        load.model() + " version " + load.version(),
                        "no items of the model for " + load.durationMillis() + " ms, announced by " + sender));
            }
        }
    }
}
