package io.yuccaswitch.core.membership;

import java.util.Collection;
import java.util.List;

/**
 * The ranking of the working members for one key, cached until the members change. A role that is queried in each tick
 * therefore needs no work proportional to the number of nodes while the membership is unchanged.
 */
public final class MemberRanking {

    /** The key. */
    private final String key;

    /** The members. */
    private final MembershipView membership;

    /** The working members that the cached ranking is based on. The view returns a new collection after each change. */
    private Collection<Member> ranked = List.of();

    /** The cached ranking. */
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
     * Returns whether this node is among the highest ranked members.
     *
     * @param count The number of highest ranked members.
     * @return {@code true} if this node is one of them.
     */
    public boolean isSelfAmong(int count) {
        Member self = membership.self();
        return members().stream().limit(count).anyMatch(self::equals);
    }
}
