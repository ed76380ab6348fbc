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
 * Selects the watchers, which are the same for all kinds: the two nodes of each region that rank highest among its
 * working nodes, in two availability zones where there are two. The number of calls to the platform thus grows with the
 * regions and not with the nodes. A node without other members is a watcher itself.
 */
final class WatchRoles {

    /** The key for which the nodes are ranked. */
    static final String RANKING_KEY = "watch";

    /** The number of other nodes that are queried where the watchers have no contact with the platform. */
    private static final int FALLBACK_NODES = 2;

    /** The members. */
    private final MembershipView membership;

    /** The watchers, in the order in which this node follows them. */
    private List<NodeName> watchers = List.of();

    /** Whether this node is a watcher. */
    private boolean watcher = true;

    /** The nodes that are queried where the watchers have no contact with the platform. */
    private List<NodeName> fallbackNodes = List.of();

    /**
     * The working nodes from which the watchers were selected. Each change of the membership creates another
     * collection.
     */
    private Collection<Member> candidates = List.of();

    /**
     * Creates roles that are not selected yet.
     *
     * @param membership The members.
     */
    WatchRoles(MembershipView membership) {
        this.membership = membership;
    }

    /**
     * Returns the watchers other than this node.
     *
     * @return The nodes, in an order that differs between followers, which distributes them over the watchers.
     */
    List<NodeName> watchers() {
        update();
        return watchers;
    }

    /**
     * Returns some nodes of the region that are no watchers, each of which may reach the platform where the watchers
     * don't.
     *
     * @return The nodes, in a selection that differs between the nodes that query them.
     */
    List<NodeName> fallbackNodes() {
        update();
        return fallbackNodes;
    }

    /** Selects the nodes again if the members have changed. */
    private void update() {
        Collection<Member> working = membership.working();
        if (working != candidates) {
            candidates = working;
            Member self = membership.self();
            List<Member> region = working.stream()
                    .filter(member -> member.region().equals(self.region()))
                    .toList();
            List<Member> pair = RendezvousRanking.pair(RANKING_KEY, region);
            List<NodeName> ranked = RendezvousRanking.rank(selfName().value(), region).stream()
                    .map(member -> member.identity().name())
                    .toList();
            Set<NodeName> selected =
                    pair.stream().map(member -> member.identity().name()).collect(Collectors.toSet());
            watcher = selected.isEmpty() || selected.contains(selfName());
            watchers = ranked.stream()
                    .filter(name -> selected.contains(name) && !name.equals(selfName()))
                    .toList();
            fallbackNodes = ranked.stream()
                    .filter(name -> !selected.contains(name) && !name.equals(selfName()))
                    .limit(FALLBACK_NODES)
                    .toList();
        }
    }

    /**
     * Returns whether this node is a watcher.
     *
     * @return {@code true} if it is.
     */
    boolean isWatcher() {
        update();
        return watcher;
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
