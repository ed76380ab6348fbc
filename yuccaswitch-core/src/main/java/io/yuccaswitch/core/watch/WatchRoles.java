package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;

/**
 * Which nodes watch a kind at the platform: the two of each region that rank highest among its working nodes, in two
 * availability zones where there are two. The platform's calls thus grow with the regions and not with the nodes. A
 * node that knows no other one watches for itself.
 */
final class WatchRoles {

    /** The interval at which the roles are looked into, well below the time in which a lost node is noticed. */
    private static final Duration INTERVAL = Duration.ofMillis(300);

    /** The kind. */
    private final String kind;

    /** The members. */
    private final MembershipView membership;

    /** The watching nodes, in the order in which this node follows them. */
    private List<NodeName> watchers = List.of();

    /** When the roles are looked into next. */
    private MonotonicTime nextLook = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates roles that were not looked into yet.
     *
     * @param kind The kind.
     * @param membership The members.
     */
    WatchRoles(String kind, MembershipView membership) {
        this.kind = kind;
        this.membership = membership;
    }

    /**
     * Returns the watching nodes.
     *
     * @param now The present.
     * @return The nodes, in an order that differs between the nodes that follow, such that these spread.
     */
    List<NodeName> watchers(MonotonicTime now) {
        if (!now.isBefore(nextLook)) {
            nextLook = now.plus(INTERVAL);
            Member self = membership.self();
            List<Member> region = membership.working().stream()
                    .filter(member -> member.region().equals(self.region()))
                    .toList();
            watchers = RendezvousRanking.rank(selfName().value(), RendezvousRanking.pair(kind, region)).stream()
                    .map(member -> member.identity().name())
                    .toList();
        }
        return watchers;
    }

    /**
     * Returns whether this node watches.
     *
     * @param now The present.
     * @return {@code true} if it does.
     */
    boolean isWatcher(MonotonicTime now) {
        List<NodeName> current = watchers(now);
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
