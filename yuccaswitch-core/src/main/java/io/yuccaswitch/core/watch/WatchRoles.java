package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RendezvousRanking;
import java.util.Collection;
import java.util.List;

/**
 * Which nodes watch at the platform, for all kinds: the two of each region that rank highest among its working nodes,
 * in two availability zones where there are two. The platform's calls thus grow with the regions and not with the
 * nodes. A node that knows no other one watches for itself.
 */
final class WatchRoles {

    /** What the nodes are ranked for. */
    static final String KEY = "watch";

    /** The members. */
    private final MembershipView membership;

    /** The watching nodes, in the order in which this node follows them. */
    private List<NodeName> watchers = List.of();

    /** The working nodes that the watching ones were picked from, which are another collection after each change. */
    private Collection<Member> picked = List.of();

    /**
     * Creates roles that were not looked into yet.
     *
     * @param membership The members.
     */
    WatchRoles(MembershipView membership) {
        this.membership = membership;
    }

    /**
     * Returns the watching nodes.
     *
     * @return The nodes, in an order that differs between the nodes that follow, such that these spread.
     */
    List<NodeName> watchers() {
        Collection<Member> working = membership.working();
        if (working != picked) {
            picked = working;
            Member self = membership.self();
            List<Member> region = working.stream()
                    .filter(member -> member.region().equals(self.region()))
                    .toList();
            watchers = RendezvousRanking.rank(selfName().value(), RendezvousRanking.pair(KEY, region)).stream()
                    .map(member -> member.identity().name())
                    .toList();
        }
        return watchers;
    }

    /**
     * Returns whether this node watches.
     *
     * @return {@code true} if it does.
     */
    boolean isWatcher() {
        List<NodeName> current = watchers();
        return current.isEmpty() || current.contains(selfName());
    }

    /**
     * Returns this node's name.
     *
     * @return The name.
     */
    private NodeName selfName() {
        return membership.self().identity().name();
    }
}
