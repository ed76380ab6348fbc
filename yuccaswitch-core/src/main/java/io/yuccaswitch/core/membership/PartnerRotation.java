package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Picks the partners of exchanges: mostly nodes of the own availability zone, some of other ones in the region, and
 * some of other regions. Within each of these, all nodes have their turn before one is picked again, such that a dead
 * node is noticed in bounded time.
 */
final class PartnerRotation {

    /** The share of exchanges that stay in the availability zone. */
    private static final double OWN_ZONE_SHARE = 0.75;

    /** The share of exchanges that leave the availability zone but stay in the region. */
    private static final double OWN_REGION_SHARE = 0.15;

    /** The table of members. */
    private final MemberTable table;

    /** The nodes that still have their turn, by where they lie. */
    private final Map<Distance, List<NodeName>> turns = new EnumMap<>(Distance.class);

    /**
     * Creates a new rotation.
     *
     * @param table The table of members.
     */
    PartnerRotation(MemberTable table) {
        this.table = table;
        for (Distance distance : Distance.values()) {
            turns.put(distance, new ArrayList<>());
        }
    }

    /**
     * Picks the next partner.
     *
     * @param tick The tick.
     * @return The partner, or empty if no other node is known to live.
     */
    Optional<MemberRow> next(Tick tick) {
        Distance first = draw(tick.random());
        Optional<MemberRow> partner = next(first, tick.random());
        for (Distance other : Distance.values()) {
            partner = partner.isPresent() ? partner : next(other, tick.random());
        }
        return partner;
    }

    /**
     * Picks some members at random.
     *
     * @param tick The tick.
     * @param count The largest number of members.
     * @param excluded A member that is not picked.
     * @return The members.
     */
    List<MemberRow> sample(Tick tick, int count, Optional<NodeName> excluded) {
        List<MemberRow> candidates = new ArrayList<>(table.othersLiving());
        candidates.removeIf(row -> excluded.equals(Optional.of(row.name())) || row.is(MemberCondition.SUSPECTED));
        List<MemberRow> picked = new ArrayList<>();
        while (picked.size() < count && !candidates.isEmpty()) {
            picked.add(candidates.remove(tick.random().nextInt(candidates.size())));
        }
        return picked;
    }

    /**
     * Draws how far the next partner lies.
     *
     * @param random The source of randomness.
     * @return The distance.
     */
    private static Distance draw(SplittableRandom random) {
        double drawn = random.nextDouble();
        if (drawn < OWN_ZONE_SHARE) {
            return Distance.OWN_ZONE;
        }
        return drawn < OWN_ZONE_SHARE + OWN_REGION_SHARE ? Distance.OWN_REGION : Distance.OTHER_REGION;
    }

    /**
     * Picks the next partner at a distance.
     *
     * @param distance The distance.
     * @param random The source of randomness.
     * @return The partner, or empty if there is none.
     */
    private Optional<MemberRow> next(Distance distance, SplittableRandom random) {
        List<NodeName> waiting = turns.get(distance);
        Optional<MemberRow> partner = takeLiving(waiting, random);
        if (partner.isEmpty()) {
            table.othersLiving().stream()
                    .filter(row -> distance(row.member()) == distance)
                    .map(MemberRow::name)
                    .forEach(waiting::add);
            partner = takeLiving(waiting, random);
        }
        return partner;
    }

    /**
     * Takes a node that still has its turn, at random, and passes over those that died.
     *
     * @param waiting The nodes that still have their turn.
     * @param random The source of randomness.
     * @return The node, or empty if there is none.
     */
    private Optional<MemberRow> takeLiving(List<NodeName> waiting, SplittableRandom random) {
        while (!waiting.isEmpty()) {
            int last = waiting.size() - 1;
            NodeName name = waiting.set(random.nextInt(waiting.size()), waiting.get(last));
            waiting.remove(last);
            Optional<MemberRow> living = table.row(name).filter(row -> !row.is(MemberCondition.DEAD));
            if (living.isPresent()) {
                return living;
            }
        }
        return Optional.empty();
    }

    /**
     * Computes how far a member lies.
     *
     * @param member The member.
     * @return The distance.
     */
    private Distance distance(Member member) {
        Member self = table.self();
        if (member.availabilityZone().equals(self.availabilityZone())) {
            return Distance.OWN_ZONE;
        }
        return member.region().equals(self.region()) ? Distance.OWN_REGION : Distance.OTHER_REGION;
    }

    /** How far a node lies from this one. */
    private enum Distance {
        /** In the same availability zone. */
        OWN_ZONE,
        /** In another availability zone of the same region. */
        OWN_REGION,
        /** In another region. */
        OTHER_REGION
    }
}
