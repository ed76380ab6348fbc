package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import java.util.List;
import java.util.Optional;

/**
 * Copies the texts of long items, as they grow, to the node that would take their job over. The longest items decide
 * when a step ends (7.3 s of a step's 7.8 s on the sites measured), so a runner that dies late in a step costs the
 * whole step without copies, and about a second with them.
 */
final class TextCopySystem implements DecisionSystem {

    /** How many nodes are asked for copies, as the view of who comes first may have changed. */
    private static final int SUCCESSORS = 2;

    /** The tables of the batch system. */
    private final BatchState state;

    /**
     * Creates a system without copies.
     *
     * @param state The tables of the batch system.
     */
    TextCopySystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof BatchMessage.TextGrown grown) {
                take(tick, grown);
            } else if (received.message() instanceof BatchMessage.ReadCopies read) {
                answer(tick, received.sender().name(), new BatchJobId(read.id()));
            }
        }
        state.copies().takeWanted().forEach(id -> ask(tick, id));
        tick.events(BatchEvent.TextGrown.class).forEach(grown -> send(tick, grown));
        tick.events(BatchEvent.AttemptEnded.class).forEach(ended -> sendKept(tick, ended));
    }

    /**
     * Takes a part of a text: holds it, or lets the item go on from it if its job runs here.
     *
     * @param tick The tick.
     * @param grown The part.
     */
    private void take(Tick tick, BatchMessage.TextGrown grown) {
        BatchJobId id = new BatchJobId(grown.id());
        Optional<RunningJob> job = state.running().find(id);
        if (job.isEmpty()) {
            state.copies().take(id, grown.item(), grown.after(), grown.part(), tick.now());
            return;
        }
        Optional<RunningItem> item = job.get()
                .find(grown.item())
                .filter(found ->
                        grown.after() == 0 && found.reached() < grown.part().lastEventId())
                .filter(found -> found.result().isEmpty() && found.scoring().isEmpty());
        if (item.isPresent()) {
            state.breakOff(tick, id, item.get());
            boolean resumed = job.get().resume(grown.item(), grown.part());
            tick.decide(Decision.of(
                    "batch-item",
                    grown.item(),
                    resumed ? "resumed from a copy" : "copy not used",
                    "events kept to " + item.get().text().lastEventId() + ", copy to "
                            + grown.part().lastEventId()));
        }
    }

    /**
     * Hands out the copies of a job.
     *
     * @param tick The tick.
     * @param target The node that runs the job now.
     * @param id The job.
     */
    private void answer(Tick tick, NodeName target, BatchJobId id) {
        state.copies()
                .find(id)
                .forEach((item, text) ->
                        tick.emit(new PeerEffect.Send(target, new BatchMessage.TextGrown(id.value(), item, 0, text))));
    }

    /**
     * Asks for the copies of a job that was begun here after another node, or an earlier life of this one, ran it.
     *
     * @param tick The tick.
     * @param id The job.
     */
    private void ask(Tick tick, BatchJobId id) {
        List<NodeName> successors = successors(id);
        if (successors.isEmpty() && state.running().contains(id)) {
            state.copies().want(id);
        }
        successors.forEach(node -> tick.emit(new PeerEffect.Send(node, new BatchMessage.ReadCopies(id.value()))));
    }

    /**
     * Sends what an attempt in progress has added to a text.
     *
     * @param tick The tick.
     * @param grown What was added.
     */
    private void send(Tick tick, BatchEvent.TextGrown grown) {
        boolean current = state.running()
                .find(grown.id())
                .flatMap(job -> job.find(grown.item()))
                .filter(item -> item.isCurrent(grown.attempt()))
                .isPresent();
        if (current) {
            send(tick, grown.id(), grown.item(), grown.after(), grown.part());
        }
    }

    /**
     * Sends the whole text of an item whose attempt broke off, as the next attempt goes on behind all of it.
     *
     * @param tick The tick.
     * @param ended The end of the attempt, which was taken before.
     */
    private void sendKept(Tick tick, BatchEvent.AttemptEnded ended) {
        state.running()
                .find(ended.id())
                .flatMap(job -> job.find(ended.item()))
                .map(RunningItem::text)
                .filter(text -> !text.isEmpty())
                .ifPresent(text -> send(tick, ended.id(), ended.item(), 0, text));
    }

    /**
     * Sends a part of a text to the node that would take the job over.
     *
     * @param tick The tick.
     * @param id The job.
     * @param item The item.
     * @param after The identifier of the event behind which the part goes on.
     * @param part The part.
     */
    private void send(Tick tick, BatchJobId id, String item, long after, ItemText part) {
        successors(id).stream()
                .limit(1)
                .forEach(node -> tick.emit(
                        new PeerEffect.Send(node, new BatchMessage.TextGrown(id.value(), item, after, part))));
    }

    /**
     * Finds the nodes that would take a job over if this one died.
     *
     * @param id The job.
     * @return The first two, the likelier one first.
     */
    private List<NodeName> successors(BatchJobId id) {
        NodeName self = state.membership().self().identity().name();
        List<Member> others = state.membership().working().stream()
                .filter(member -> !member.identity().name().equals(self))
                .toList();
        return RendezvousRanking.rank(id.value(), others).stream()
                .limit(SUCCESSORS)
                .map(member -> member.identity().name())
                .toList();
    }
}
