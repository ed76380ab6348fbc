package io.yuccaswitch.core.configuration.distribution;

import io.yuccaswitch.core.configuration.ConfigurationMessage;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import java.util.ArrayList;
import java.util.List;

/**
 * Tells a few random nodes at once when this node learns of a generation: most of them in its availability zone, where
 * messages are quick. Whoever is missed learns of the generation by the next exchanges.
 */
final class Announcer {

    /** The number of nodes to tell in the same availability zone. */
    private static final int IN_ZONE = 3;

    /** The number of nodes to tell elsewhere. */
    private static final int ELSEWHERE = 1;

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
     * Tells others of a generation.
     *
     * @param tick The tick.
     * @param generation The generation.
     */
    void announce(Tick tick, long generation) {
        Member self = members.self();
        List<Member> near = new ArrayList<>();
        List<Member> far = new ArrayList<>();
        for (Member member : members.working()) {
            if (!member.identity().equals(self.identity())) {
                (member.availabilityZone().equals(self.availabilityZone()) ? near : far).add(member);
            }
        }
        tell(tick, near, IN_ZONE, generation);
        tell(tick, far, ELSEWHERE, generation);
    }

    /**
     * Tells some random nodes.
     *
     * @param tick The tick.
     * @param candidates The nodes to choose from, which are used up.
     * @param count The largest number of nodes to tell.
     * @param generation The generation.
     */
    private static void tell(Tick tick, List<Member> candidates, int count, long generation) {
        for (int i = 0; i < count && !candidates.isEmpty(); i++) {
            Member chosen = candidates.remove(tick.random().nextInt(candidates.size()));
            tick.emit(new PeerEffect.Send(chosen.identity().name(), new ConfigurationMessage.Announcement(generation)));
        }
    }
}
