package io.yuccaswitch.core.membership;

import java.util.Collection;
import java.util.List;

/**
 * The ranking of the working members for one key, kept until the members change. A role that is asked for in each tick
 * thus costs nothing that grows with the nodes of the site while nobody comes or goes.
 */
public final class MemberRanking {

    /** The key. */
    private final String key;

    /** The members. */
    private final MembershipView membership;

    /** The working members that are ranked, which are another collection after each change. */
    private Collection<Member> ranked = List.of();

    /** The ranking. */
    private List<Member> ranking = List.of();

    /**
     * Creates a ranking.
     *
     * @param key The key.
     * @param membership The members.
     */
    public MemberRanking(String key, MembershipView membership) {
        this.key = key;
        this.membership = membership;
    }

    /**
     * Returns the working members by rank.
     *
     * @return The members from the highest to the lowest rank.
     */
    public List<Member> members() {
        Collection<Member> working = membership.working();
        if (working != ranked) {
            ranked = working;
            ranking = RendezvousRanking.rank(key, working);
        }
        return ranking;
    }

    /**
     * Returns whether this node is among the first.
     *
     * @param count How many.
     * @return {@code true} if it is.
     */
    public boolean isSelfAmong(int count) {
        Member self = membership.self();
        return members().stream().limit(count).anyMatch(self::equals);
    }
}
