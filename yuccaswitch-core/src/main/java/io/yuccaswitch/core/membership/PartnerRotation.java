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
 * Selects the partners of exchanges: mostly nodes of the own availability zone, some of other zones in the region, and
 * some of other regions. Within each of these groups, each node is selected once before any is selected again, so that
 * a dead node is detected in bounded time.
 */
final class PartnerRotation {

    /** The share of exchanges that stay in the availability zone. */
    private static final double OWN_ZONE_SHARE = 0.75;

    /** The share of exchanges that leave the availability zone but stay in the region. */
    private static final double OWN_REGION_SHARE = 0.15;

    /** The table of members. */
    private final MemberTable table;

    /** The nodes that were not yet selected in the current round, by distance. */
    private final Map<Distance, List<NodeName>> remainingByDistance = new EnumMap<>(Distance.class);

    /**
     * Creates a new rotation.
     *
     * @param table The table of members.
     */
    PartnerRotation(MemberTable table) {
        this.table = table;
        for (Distance distance : Distance.values()) {
            remainingByDistance.put(distance, new ArrayList<>());
        }
    }

    /**
     * Selects the next partner.
     *
     * @param tick The tick.
     * @return The partner, or empty if no other member is recorded as running.
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
     * Selects some members at random.
     *
     * @param tick The tick.
     * @param count The maximum number of members.
     * @param excluded A member that is not selected.
     * @return The members.
     */
    List<MemberRow> sample(Tick tick, int count, Optional<NodeName> excluded) {
        List<MemberRow> candidates = new ArrayList<>(table.othersNotDead());
        candidates.removeIf(row -> excluded.equals(Optional.of(row.name())) || row.is(MemberCondition.SUSPECTED));
        List<MemberRow> sampled = new ArrayList<>();
        while (sampled.size() < count && !candidates.isEmpty()) {
            sampled.add(candidates.remove(tick.random().nextInt(candidates.size())));
        }
        return sampled;
    }

    /**
     * Draws the distance of the next partner at random.
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
     * Selects the next partner at a distance.
     *
     * @param distance The distance.
     * @param random The source of randomness.
     * @return The partner, or empty if there is none.
     */
    private Optional<MemberRow> next(Distance distance, SplittableRandom random) {
        List<NodeName> remaining = remainingByDistance.get(distance);
        Optional<MemberRow> partner = takeRandom(remaining, random);
        if (partner.isEmpty()) {
            table.othersNotDead().stream()
                    .filter(row -> distance(row.member()) == distance)
                    .map(MemberRow::name)
                    .forEach(remaining::add);
            partner = takeRandom(remaining, random);
        }
        return partner;
    }

    /**
     * Removes a random node from those not yet selected, skipping dead ones.
     *
     * @param remaining The nodes that were not yet selected.
     * @param random The source of randomness.
     * @return The node, or empty if there is none.
     */
    private Optional<MemberRow> takeRandom(List<NodeName> remaining, SplittableRandom random) {
        while (!remaining.isEmpty()) {
            int last = remaining.size() - 1;
            NodeName name = remaining.set(random.nextInt(remaining.size()), remaining.get(last));
            remaining.remove(last);
            Optional<MemberRow> selected = table.row(name).filter(row -> !row.is(MemberCondition.DEAD));
            if (selected.isPresent()) {
                return selected;
            }
        }
        return Optional.empty();
    }

    /**
     * Computes the distance of a member.
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

    /** The distance of a node from this one. */
    private enum Distance {
        /** In the same availability zone. */
        OWN_ZONE,
        /** In another availability zone of the same region. */
        OWN_REGION,
        /** In another region. */
        OTHER_REGION
    }
}
