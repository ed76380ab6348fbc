package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import java.util.ArrayList;
import java.util.List;

/** Tells other nodes about a leaving endpoint. */
@FunctionalInterface
public interface LeavingNews {

    /** Tells nobody. */
    LeavingNews NO_OP = (_tick, _message) -> {};

    /**
     * Spreads news that this node has just learned.
     *
     * @param tick The tick.
     * @param message The news.
     */
    void spread(Tick tick, EndpointMessage message);

    /**
     * Tells all nodes of a small site, and a few random ones of a large one. Each node passes on what is news to it, so
     * a few receivers suffice to reach nearly all nodes, and an endpoint's own refusal tells the rest.
     *
     * @param membership The nodes.
     */
    record ToFewNodes(MembershipView membership) implements LeavingNews {

        /** The largest number of nodes that are told by one. */
        static final int FAN_OUT = 8;

        /** {@inheritDoc} */
        @Override
        public void spread(Tick tick, EndpointMessage message) {
            NodeName self = membership.self().identity().name();
            List<Member> others = new ArrayList<>(membership.working());
            others.removeIf(member -> member.identity().name().equals(self));
            for (int told = 0; told < FAN_OUT && !others.isEmpty(); told++) {
                Member receiver = others.remove(tick.random().nextInt(others.size()));
                tick.emit(new PeerEffect.Send(receiver.identity().name(), message));
            }
        }
    }
}
