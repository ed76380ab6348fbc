package io.yuccaswitch.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks members for a key by rendezvous hashing. All nodes with the same view agree on the ranking, and a member that
 * joins or leaves affects only the keys for which it ranks highest.
 */
public final class RendezvousRanking {

    /** This class has no instances. */
    private RendezvousRanking() {}

    /**
     * Ranks members for a key.
     *
     * @param key The key, such as the name of a trainer.
     * @param members The members to rank.
     * @return The members from the highest to the lowest rank.
     */
    public static List<Member> rank(String key, Collection<Member> members) {
        List<Weighted> weighted = new ArrayList<>(members.size());
        members.forEach(member -> weighted.add(new Weighted(weight(key, member), member)));
        weighted.sort(Comparator.comparingLong(Weighted::weight).reversed().thenComparing(row -> row.member()
                .identity()));
        return weighted.stream().map(Weighted::member).toList();
    }

    /**
     * Selects the highest ranked member for a key, and the highest ranked one after it in another availability zone, or
     * the next one if there is no such zone.
     *
     * @param key The key.
     * @param members The members to select from.
     * @return At most two members, the first being the key's primary.
     */
    public static List<Member> pair(String key, Collection<Member> members) {
        List<Member> ranked = rank(key, members);
        if (ranked.size() < 2) {
            return ranked;
        }
        Member primary = ranked.get(0);
        List<Member> others = ranked.subList(1, ranked.size());
        Member secondary = others.stream()
                .filter(member -> !member.availabilityZone().equals(primary.availabilityZone()))
                .findFirst()
                .orElseGet(() -> others.get(0));
        return List.of(primary, secondary);
    }

    /**
     * Computes the weight of a member for a key.
     *
     * @param key The key.
     * @param member The member.
     * @return The weight, where the highest weight ranks first.
     */
    private static long weight(String key, Member member) {
        String text = key + '\n' + member.identity().name();
        return Hashing.farmHashFingerprint64()
                        .hashString(text, StandardCharsets.UTF_8)
                        .asLong()
                >>> 1;
    }

    /**
     * A member with its weight for a key, so that the hash is computed once for each member rather than at each
     * comparison.
     *
     * @param weight The weight.
     * @param member The member.
     */
    private record Weighted(long weight, Member member) {}
}
