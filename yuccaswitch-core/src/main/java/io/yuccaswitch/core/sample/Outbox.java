package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

/** Sends messages to nodes. Messages to this node itself are queued and processed within the same tick. */
final class Outbox {

    /** The members, which provide this node's name. */
    private final MembershipView membership;

    /** The messages to this node itself. */
    private final Queue<SampleMessage> local = new ArrayDeque<>();

    /**
     * Creates a new outbox.
     *
     * @param membership The members.
     */
    Outbox(MembershipView membership) {
        this.membership = membership;
    }

    /**
     * Sends a message.
     *
     * @param tick The current tick.
     * @param target The node to send to, which may be this one.
     * @param message The message.
     */
    void send(Tick tick, NodeName target, SampleMessage message) {
        if (target.equals(membership.self().identity().name())) {
            local.add(message);
            return;
        }
        tick.emit(new PeerEffect.Send(target, message));
    }

    /**
     * Sends a message.
     *
     * @param tick The current tick.
     * @param target The member to send to, which may be this node.
     * @param message The message.
     */
    void send(Tick tick, Member target, SampleMessage message) {
        send(tick, target.identity().name(), message);
    }

    /**
     * Removes and returns the oldest message to this node itself.
     *
     * @return The message, or empty if there is none.
     */
    Optional<SampleMessage> pollLocal() {
        return Optional.ofNullable(local.poll());
    }
}
