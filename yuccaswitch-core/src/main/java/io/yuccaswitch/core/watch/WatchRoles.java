package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RendezvousRanking;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which nodes watch at the platform, for all kinds: the two of each region that rank highest among its working nodes,
 * in two availability zones where there are two. The platform's calls thus grow with the regions and not with the
 * nodes. A node that knows no other one watches for itself.
 */
final class WatchRoles {

    /** What the nodes are ranked for. */
    static final String KEY = "watch";

    /** The number of nodes that are asked where the watching ones can't tell. */
    private static final int OTHERS = 2;

    /** The members. */
    private final MembershipView membership;

    /** The watching nodes, in the order in which this node follows them. */
    private List<NodeName> watchers = List.of();

    /** Whether this node watches. */
    private boolean watches = true;

    /** The nodes that are asked where the watching ones can't tell. */
    private List<NodeName> others = List.of();

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
     * Returns the watching nodes but this one.
     *
     * @return The nodes, in an order that differs between the nodes that follow, such that these spread.
     */
    List<NodeName> watchers() {
        pick();
        return watchers;
    }

    /**
     * Returns some nodes of the region that don't watch, each of which may reach the platform where the watching ones
     * don't.
     *
     * @return The nodes, which differ between the nodes that ask.
     */
    List<NodeName> others() {
        pick();
        return others;
    }

    /** Picks the nodes anew if the members have changed. */
    private void pick() {
        Collection<Member> working = membership.working();
        if (working != picked) {
            picked = working;
            Member self = membership.self();
            List<Member> region = working.stream()
                    .filter(member -> member.region().equals(self.region()))
                    .toList();
            List<Member> pair = RendezvousRanking.pair(KEY, region);
            List<NodeName> ranked = RendezvousRanking.rank(selfName().value(), region).stream()
                    .map(member -> member.identity().name())
                    .toList();
            Set<NodeName> watching =
                    pair.stream().map(member -> member.identity().name()).collect(Collectors.toSet());
            watches = watching.isEmpty() || watching.contains(selfName());
            watchers = ranked.stream()
                    .filter(name -> watching.contains(name) && !name.equals(selfName()))
                    .toList();
            others = ranked.stream()
                    .filter(name -> !watching.contains(name) && !name.equals(selfName()))
                    .limit(OTHERS)
                    .toList();
        }
    }

    /**
     * Returns whether this node watches.
     *
     * @return {@code true} if it does.
     */
    boolean isWatcher() {
        pick();
        return watches;
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
