package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RendezvousRanking;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns the drivers and backups of groups and the keepers of trainers by rendezvous hashing among the members that
 * take work.
 */
final class RoleTable {

    /** The members. */
    private final MembershipView membership;

    /** The members that take work, as of the latest refresh. */
    private List<Member> working = List.of();

    /** The cached pairs by their keys. */
    private final Map<String, List<Member>> pairs = new HashMap<>();

    /**
     * Creates a new table.
     *
     * @param membership The members.
     */
    RoleTable(MembershipView membership) {
        this.membership = membership;
    }

    /**
     * Updates the members that take work, and clears the cached pairs if they have changed.
     *
     * @return {@code true} if they have changed.
     */
    boolean refresh() {
        List<Member> current = List.copyOf(membership.working());
        if (current.equals(working)) {
            return false;
        }
        working = current;
        pairs.clear();
        return true;
    }

    /**
     * Returns the members that take work.
     *
     * @return The members that take work.
     */
    List<Member> working() {
        return working;
    }

    /**
     * Returns the driver and the backup of a group.
     *
     * @param key The identity of the group.
     * @return At most two members, the driver first.
     */
    List<Member> holders(GroupKey key) {
        return pairs.computeIfAbsent("group/" + key, text -> RendezvousRanking.pair(text, working));
    }

    /**
     * Returns the keepers of a trainer's finished groups.
     *
     * @param trainer The trainer.
     * @return At most two members, the primary first.
     */
    List<Member> keepers(TrainerName trainer) {
        return pairs.computeIfAbsent("keeper/" + trainer, text -> RendezvousRanking.pair(text, working));
    }

    /**
     * Returns whether this node is the driver of a group.
     *
     * @param key The identity of the group.
     * @return {@code true} if this node is the driver.
     */
    boolean drives(GroupKey key) {
        List<Member> holders = holders(key);
        return !holders.isEmpty() && isSelf(holders.get(0));
    }

    /**
     * Returns whether a member is this node.
     *
     * @param member The member.
     * @return {@code true} if the member is this node.
     */
    boolean isSelf(Member member) {
        return member.identity().name().equals(membership.self().identity().name());
    }

    /**
     * Returns the members of a list other than this node.
     *
     * @param members The members.
     * @return The other members.
     */
    List<Member> others(List<Member> members) {
        return members.stream().filter(member -> !isSelf(member)).toList();
    }
}
