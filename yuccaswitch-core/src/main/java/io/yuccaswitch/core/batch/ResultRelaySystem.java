package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.OptionalLong;

/**
 * Lists results on the platform on behalf of other nodes that get no answer from the platform. Each object is created
 * under its number by a conditional creation, so results are not listed twice, even if a node asks two others at once
 * or a request is late.
 */
final class ResultRelaySystem implements DecisionSystem {

    /** The tables of the batch system. */
    private final BatchState state;

    /**
     * Creates a system without requests.
     *
     * @param state The tables of the batch system.
     */
    ResultRelaySystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof BatchMessage.StoreResults store) {
                write(tick, received.sender().name(), store);
            }
        }
    }

    /**
     * Creates an object for another node.
     *
     * @param tick The tick.
     * @param sender The node.
     * @param store The request.
     */
    private void write(Tick tick, NodeName sender, BatchMessage.StoreResults store) {
        state.write(
                tick,
                BatchObjects.results(new BatchJobId(store.id()), store.number()),
                OptionalLong.empty(),
                store.value(),
                (later, event) -> {
                    BatchMessage.ResultsStored answer = answer(store, event);
                    later.emit(new PeerEffect.Send(sender, answer));
                    state.trace()
                            .relayed(
                                    later,
                                    new BatchJobId(store.id()),
                                    answer.listed() ? "listed" : "not listed",
                                    "object " + store.number() + " for " + sender + ", the platform answered "
                                            + event.getClass().getSimpleName(),
                                    answer.listed()
                                            ? state.codec()
                                                    .readResults(answer.value())
                                                    .orElseGet(List::of)
                                            : List.of());
                });
    }

    /**
     * Builds the answer.
     *
     * @param store The request.
     * @param event The platform's answer.
     * @return The answer.
     */
    private static BatchMessage.ResultsStored answer(BatchMessage.StoreResults store, PlatformEvent event) {
        if (event instanceof PlatformEvent.Accepted) {
            return new BatchMessage.ResultsStored(store.ticket(), store.id(), store.number(), true, store.value());
        }
        if (event instanceof PlatformEvent.Conflict conflict
                && conflict.current().isPresent()) {
            return new BatchMessage.ResultsStored(
                    store.ticket(),
                    store.id(),
                    store.number(),
                    true,
                    conflict.current().get().value());
        }
        return new BatchMessage.ResultsStored(store.ticket(), store.id(), store.number(), false, Bytes.EMPTY);
    }
}
