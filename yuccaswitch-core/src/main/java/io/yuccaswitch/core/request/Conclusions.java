package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.peer.PeerEffect;
import java.util.List;
import java.util.Optional;

/** Concludes requests: notifies all waiters, and retains the outcomes that are needed to answer repeated requests. */
final class Conclusions {

    /** The tables. */
    private final RequestTables tables;

    /**
     * Creates new conclusions.
     *
     * @param tables The tables.
     */
    Conclusions(RequestTables tables) {
        this.tables = tables;
    }

    /**
     * Concludes a request in progress.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param outcome The outcome.
     */
    void conclude(Tick tick, RequestRow row, Outcome outcome) {
        tables.requests.remove(row.id());
        PoolState pool = tables.pools.get(row.request().pool());
        if (pool != null) {
            pool.queue.remove(row.id());
        }
        abandonAttempts(tick, row);
        if (!row.request().idempotent() && mustBeRetained(row, outcome)) {
            retainOutcome(tick, row, outcome);
        }
        notifyWaiters(tick, row.id(), row.waiters(), outcome);
    }

    /**
     * Notifies all waiters of an outcome, without changing the request's row.
     *
     * @param tick The tick.
     * @param id The identifier of the request.
     * @param waiters The waiters.
     * @param outcome The outcome.
     */
    void notifyWaiters(Tick tick, RequestId id, Waiters waiters, Outcome outcome) {
        explain(tick, id, outcome);
        if (waiters.local()) {
            tick.emit(new RequestEffect.Conclude(id, outcome));
            tick.raise(new RequestEvent.Concluded(id, outcome));
        }
        RecordedOutcome recorded = RecordedOutcome.of(outcome);
        for (Waiters.Peer peer : waiters.peers()) {
            if (outcome instanceof Outcome.NotRun) {
                tables.refused.retain(peer.arrival(), recorded, tick.now());
            }
            tick.emit(new PeerEffect.Send(peer.node(), new RequestMessage.Concluded(id, peer.arrival(), recorded)));
        }
    }

    /**
     * Cancels the attempts of a request that are still in progress.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void abandonAttempts(Tick tick, RequestRow row) {
        for (int number : row.history().running()) {
            tables.attempts.update(number, Attempt::withAbandoned);
            tick.emit(new RequestEffect.CancelAttempt(row.id(), number));
        }
    }

    /**
     * Returns whether a non-idempotent request must not be sent after its outcome. A request that is known not to have
     * run may be sent again, unless the refusal is sent to a peer: the refusal may arrive there late and must still be
     * true then.
     *
     * @param row The request's row.
     * @param outcome The outcome.
     * @return {@code true} if the id must not be sent after this outcome.
     */
    private static boolean mustBeRetained(RequestRow row, Outcome outcome) {
        return outcome instanceof Outcome.NotRun
                ? !row.waiters().peers().isEmpty()
                : row.history().attempts() > 0;
    }

    /**
     * Records the id of a non-idempotent request as concluded, and retains its outcome at this node and at a peer.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param outcome The outcome.
     */
    private void retainOutcome(Tick tick, RequestRow row, Outcome outcome) {
        RecordedOutcome recorded = RecordedOutcome.of(outcome);
        tables.concluded.record(row.id(), row.window());
        tables.retained.retain(
                new RetainedOutcome(row.id(), row.request().caller(), row.fingerprint(), recorded, tick.now()));
        keeper(row.id())
                .ifPresent(peer -> tick.emit(new PeerEffect.Send(
                        peer,
                        new RequestMessage.ReplicateOutcome(
                                row.id(), row.request().caller(), row.fingerprint(), recorded))));
    }

    /**
     * Selects the peer that keeps a copy of an outcome: the highest ranked one in another availability zone, or the
     * highest ranked one if there is none.
     *
     * @param id The identifier of the request.
     * @return The peer, or empty if there are no other nodes.
     */
    private Optional<NodeName> keeper(RequestId id) {
        Member self = tables.membership.self();
        List<Member> ranked = RendezvousRanking.rank(id.value(), tables.membership.working()).stream()
                .filter(member ->
                        !member.identity().name().equals(self.identity().name()))
                .toList();
        return ranked.stream()
                .filter(member -> !member.availabilityZone().equals(self.availabilityZone()))
                .findFirst()
                .or(() -> ranked.stream().findFirst())
                .map(member -> member.identity().name());
    }

    /**
     * Records the decision that explains an outcome.
     *
     * @param tick The tick.
     * @param id The identifier of the request.
     * @param outcome The outcome.
     */
    private static void explain(Tick tick, RequestId id, Outcome outcome) {
        RecordedOutcome recorded = RecordedOutcome.of(outcome);
        String reason = recorded.kind() == RecordedOutcome.Kind.ANSWERED
                ? "status " + recorded.status()
                : recorded.code() + ": " + recorded.message();
        tick.decide(Decision.of("conclude", id.value(), recorded.kind().name(), reason));
    }
}
