package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/**
 * Answers requests of other nodes for results and bodies of the jobs that run at this node. Results never change once
 * they are listed, so the results of a runner are correct even if another node has taken over the job. A runner never
 * reports that there is no result, as only the platform can confirm that.
 */
final class RunnerReadSystem implements DecisionSystem {

    /** The tables of the batch system. */
    private final BatchState state;

    /** The requests that wait for results. */
    private final EntityTable<Key, Waiting> waiting = new EntityTable<>();

    /**
     * Creates a system without requests.
     *
     * @param state The tables of the batch system.
     */
    RunnerReadSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            NodeName sender = received.sender().name();
            if (received.message() instanceof BatchMessage.ReadResults read) {
                MonotonicTime until = tick.now().plus(Duration.ofMillis(read.waitMillis()));
                waiting.put(new Key(sender, read.ticket()), new Waiting(sender, read, until));
            } else if (received.message() instanceof BatchMessage.ReadBody read) {
                tick.emit(new PeerEffect.Send(sender, body(read)));
            }
        }
        waiting.removeIf(request -> isDone(tick, request));
    }

    /**
     * Answers a request if possible.
     *
     * @param tick The tick.
     * @param request The request.
     * @return Whether the request is done.
     */
    private boolean isDone(Tick tick, Waiting request) {
        BatchMessage.ReadResults read = request.read();
        BatchJobId id = new BatchJobId(read.id());
        Optional<ResultLog> log = state.logs().find(id);
        if (log.isPresent() && (log.get().size() > read.position() || log.get().isComplete())) {
            log.get().touch(tick.now());
            BatchAnswer.Results page = log.get().page(read.position());
            tick.emit(new PeerEffect.Send(
                    request.sender(),
                    new BatchMessage.ResultsRead(
                            read.ticket(), read.id(), read.position(), page.total(), page.next(), page.results())));
            return true;
        }
        if (!state.running().contains(id)) {
            tick.emit(new PeerEffect.Send(request.sender(), new BatchMessage.ReadDeclined(read.ticket())));
            return true;
        }
        return !tick.now().isBefore(request.until());
    }

    /**
     * Finds the body of an item.
     *
     * @param read The request.
     * @return The answer.
     */
    private BatchMessage body(BatchMessage.ReadBody read) {
        Optional<Bytes> body = state.body(new BatchJobId(read.id()), read.item());
        return body.<BatchMessage>map(found -> new BatchMessage.BodyRead(read.ticket(), read.id(), read.item(), found))
                .orElseGet(() -> new BatchMessage.ReadDeclined(read.ticket()));
    }

    /**
     * Identifies a request.
     *
     * @param sender The requesting node.
     * @param ticket The node's ticket.
     */
    private record Key(NodeName sender, long ticket) {}

    /**
     * A request that waits.
     *
     * @param sender The requesting node.
     * @param read The request.
     * @param until The time until which the node waits.
     */
    private record Waiting(NodeName sender, BatchMessage.ReadResults read, MonotonicTime until) {}
}
