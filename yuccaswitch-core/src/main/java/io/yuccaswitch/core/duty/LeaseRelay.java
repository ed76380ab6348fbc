package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RandomPeer;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.RequestNumbers;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/**
 * Requests renewals of this node's lease through other nodes while the platform does not answer this node. Without
 * relaying, a holder that is partitioned from the platform can't give orders, and its successor has to wait for the
 * safety time: no engine loads a version for 5.3 s, and the next steps find few engines with their version.
 */
final class LeaseRelay {

    /** The timeout of a relayed renewal: a call to the platform plus the round trip between the nodes. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The request in progress, if any. */
    private Optional<Request> request = Optional.empty();

    /** Allocates the tickets of requests. */
    private final RequestNumbers tickets;

    /**
     * Creates a relay without requests.
     *
     * @param membership The nodes of the site.
     */
    LeaseRelay(MembershipView membership) {
        this.membership = membership;
        tickets = new RequestNumbers(membership.self().identity());
    }

    /**
     * Sends a renewal to another node.
     *
     * @param tick The tick.
     * @param expectedVersion The expected version of the lease object.
     * @param value The new value of the lease.
     * @return {@code true} if the request was sent, {@code false} if no other node is available.
     */
    boolean requestRenewal(Tick tick, long expectedVersion, LeaseValue value) {
        Optional<NodeName> other = RandomPeer.choose(tick, membership);
        if (other.isEmpty()) {
            return false;
        }
        long ticket = tickets.next();
        request = Optional.of(new Request(ticket, value, tick.now()));
        Bytes encoded = value.encode();
        tick.emit(new PeerEffect.Send(other.get(), new DutyMessage.RenewLease(ticket, expectedVersion, encoded)));
        return true;
    }

    /**
     * Returns the outcome of the request in progress.
     *
     * @param tick The tick.
     * @return The outcome, or empty if the request is still pending or there is none.
     */
    Optional<Outcome> receive(Tick tick) {
        if (request.isEmpty()) {
            return Optional.empty();
        }
        Request pending = request.get();
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof DutyMessage.RenewalAnswered answered
                    && answered.ticket() == pending.ticket()) {
                request = Optional.empty();
                return Optional.of(new Outcome(pending.value(), pending.sentAt(), Optional.of(answered)));
            }
        }
        if (tick.now().since(pending.sentAt()).compareTo(ANSWER_TIMEOUT) < 0) {
            return Optional.empty();
        }
        request = Optional.empty();
        return Optional.of(new Outcome(pending.value(), pending.sentAt(), Optional.empty()));
    }

    /**
     * A request to another node.
     *
     * @param ticket The ticket.
     * @param value The new value of the lease.
     * @param sentAt When the request was sent.
     */
    private record Request(long ticket, LeaseValue value, MonotonicTime sentAt) {}

    /**
     * The outcome of a request.
     *
     * @param value The new value of the lease.
     * @param sentAt When the request was sent. It can't have reached the platform earlier.
     * @param answer The platform's answer, or empty if the outcome is unknown.
     */
    record Outcome(LeaseValue value, MonotonicTime sentAt, Optional<DutyMessage.RenewalAnswered> answer) {}
}
