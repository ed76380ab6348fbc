package io.yuccaswitch.core.configuration.distribution;

import io.yuccaswitch.core.configuration.ConfigurationMessage;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import java.util.ArrayList;
import java.util.List;

/**
 * Announces a generation that this node obtained to a few random nodes, most of them in its availability zone, where
 * latency is low. The other nodes are notified of the generation by the next membership exchanges.
 */
final class Announcer {

    /** The number of announcements in the node's own availability zone. */
    private static final int ANNOUNCEMENTS_IN_ZONE = 3;

    /** The number of announcements in other availability zones. */
    private static final int ANNOUNCEMENTS_IN_OTHER_ZONES = 1;

    /** The members. */
    private final MembershipView members;

    /**
     * Creates a new announcer.
     *
     * @param members The members.
     */
    Announcer(MembershipView members) {
        this.members = members;
    }

    /**
     * Announces a generation to other nodes.
     *
     * @param tick The tick.
     * @param generation The generation.
     */
    void announce(Tick tick, long generation) {
        Member self = members.self();
        List<Member> sameZone = new ArrayList<>();
        List<Member> otherZones = new ArrayList<>();
        for (Member member : members.working()) {
            if (!member.identity().equals(self.identity())) {
                (member.availabilityZone().equals(self.availabilityZone()) ? sameZone : otherZones).add(member);
            }
        }
        announce(tick, sameZone, ANNOUNCEMENTS_IN_ZONE, generation);
        announce(tick, otherZones, ANNOUNCEMENTS_IN_OTHER_ZONES, generation);
    }

    /**
     * Announces a generation to random nodes.
     *
     * @param tick The tick.
     * @param candidates The candidate nodes, from which the chosen ones are removed.
     * @param count The maximum number of announcements.
     * @param generation The generation.
     */
    private static void announce(Tick tick, List<Member> candidates, int count, long generation) {
        for (int i = 0; i < count && !candidates.isEmpty(); i++) {
            Member chosen = candidates.remove(tick.random().nextInt(candidates.size()));
            tick.emit(new PeerEffect.Send(chosen.identity().name(), new ConfigurationMessage.Announcement(generation)));
        }
    }
}
