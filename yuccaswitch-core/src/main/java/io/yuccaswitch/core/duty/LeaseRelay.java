package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RandomPeer;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/**
 * Asks other nodes to renew this node's lease while the platform does not answer it. Without it a holder that is cut
 * off from the platform gives no orders, and its successor waits out the safety time: 5.3 s without loads, in which the
 * next steps find few engines with their version.
 */
final class LeaseRelay {

    /** How long another node may take: the time of a call to the platform, and some for the way. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(400);

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The request in progress, if any. */
    private Optional<Request> request = Optional.empty();

    /** The ticket that was handed out last. */
    private long lastTicket;

    /**
     * Creates a relay without requests.
     *
     * @param membership The nodes of the site.
     */
    LeaseRelay(MembershipView membership) {
        this.membership = membership;
    }

    /**
     * Asks another node.
     *
     * @param tick The tick.
     * @param expectedVersion The version that the lease's object must have.
     * @param value The lease's new value.
     * @return Whether there is one to ask.
     */
    boolean ask(Tick tick, long expectedVersion, LeaseValue value) {
        Optional<NodeName> other = RandomPeer.choose(tick, membership);
        if (other.isEmpty()) {
            return false;
        }
        lastTicket++;
        request = Optional.of(new Request(lastTicket, value, tick.now()));
        Bytes encoded = value.encode();
        tick.emit(new PeerEffect.Send(other.get(), new DutyMessage.RenewLease(lastTicket, expectedVersion, encoded)));
        return true;
    }

    /**
     * Returns what has become of the request in progress.
     *
     * @param tick The tick.
     * @return The outcome, or empty while it is awaited or there is none.
     */
    Optional<Outcome> receive(Tick tick) {
        if (request.isEmpty()) {
            return Optional.empty();
        }
        Request asked = request.get();
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof DutyMessage.LeaseAnswered answered
                    && answered.ticket() == asked.ticket()) {
                request = Optional.empty();
                return Optional.of(new Outcome(asked.value(), asked.sentAt(), Optional.of(answered)));
            }
        }
        if (tick.now().since(asked.sentAt()).compareTo(ANSWER_TIME) < 0) {
            return Optional.empty();
        }
        request = Optional.empty();
        return Optional.of(new Outcome(asked.value(), asked.sentAt(), Optional.empty()));
    }

    /**
     * A request to another node.
     *
     * @param ticket The ticket.
     * @param value The lease's new value.
     * @param sentAt When it was sent.
     */
    private record Request(long ticket, LeaseValue value, MonotonicTime sentAt) {}

    /**
     * What became of a request.
     *
     * @param value The lease's new value.
     * @param sentAt When the request was sent, before which nothing of it reached the platform.
     * @param answer What the platform answered, or empty if nothing is known.
     */
    record Outcome(LeaseValue value, MonotonicTime sentAt, Optional<DutyMessage.LeaseAnswered> answer) {}
}
