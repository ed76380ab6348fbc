package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import java.util.List;
import java.util.Optional;

/** Selects another node for work that any node can do, such as a call to the platform. */
public final class RandomPeer {

    /** This class has no instances. */
    private RandomPeer() {}

    /**
     * Selects one of the other working nodes with equal probability.
     *
     * @param tick The tick, whose source of randomness is used.
     * @param membership The nodes of the site.
     * @return The node, or empty if this one is alone.
     */
    public static Optional<NodeName> choose(Tick tick, MembershipView membership) {
        NodeName self = membership.self().identity().name();
        List<NodeName> others = membership.working().stream()
                .map(member -> member.identity().name())
                .filter(name -> !name.equals(self))
                .toList();
        return others.isEmpty()
                ? Optional.empty()
                : Optional.of(others.get(tick.random().nextInt(others.size())));
    }
}
