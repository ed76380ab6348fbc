package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import java.util.ArrayList;
import java.util.List;

/** Announces leaving endpoints to other nodes. */
@FunctionalInterface
public interface LeavingAnnouncer {

    /** Sends no announcements. */
    LeavingAnnouncer NO_OP = (_tick, _message) -> {};

    /**
     * Announces a leaving endpoint that this node has newly recorded.
     *
     * @param tick The tick.
     * @param message The message to send.
     */
    void announce(Tick tick, EndpointMessage message);

    /**
     * Sends announcements to all nodes of a small site, or to a few random nodes of a large one. Each node forwards an
     * announcement that is new to it, so a few receivers suffice to reach nearly all nodes. The remaining nodes learn
     * that the endpoint is leaving when it rejects a request.
     *
     * @param membership The membership of the site.
     */
    record RandomSubset(MembershipView membership) implements LeavingAnnouncer {

        /** The maximum number of nodes to which one node sends an announcement. */
        static final int FAN_OUT = 8;

        /** {@inheritDoc} */
        @Override
        public void announce(Tick tick, EndpointMessage message) {
            NodeName self = membership.self().identity().name();
            List<Member> others = new ArrayList<>(membership.working());
            others.removeIf(member -> member.identity().name().equals(self));
            for (int sent = 0; sent < FAN_OUT && !others.isEmpty(); sent++) {
                Member receiver = others.remove(tick.random().nextInt(others.size()));
                tick.emit(new PeerEffect.Send(receiver.identity().name(), message));
            }
        }
    }
}
