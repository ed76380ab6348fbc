package io.yuccaswitch.core.weight;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Places groups of models on engines. Each group gets engines in proportion to its weight, at least one, distributed
 * over availability zones. An engine keeps its group unless a move brings the shares closer to the weights by more than
 * the hysteresis.
 */
final class PlacementPolicy {

    /**
     * The number of engines by which two groups together must deviate from their shares before an engine moves from one
     * to the other. A move reduces the deviation if it exceeds one engine; the remaining 0.25 is hysteresis.
     */
    private static final double MOVE_THRESHOLD = 1.25;

    /**
     * The maximum number of moves in one computation, which bounds both the work of a tick and the loads that a change
     * causes.
     */
    private static final int MAXIMUM_MOVES = 16;

    /** The groups by their bases. */
    private final Map<String, ModelGroup> groups = new TreeMap<>();

    /** The engines by their names. */
    private final Map<EndpointName, EngineRow> engines = new TreeMap<>();

    /** The newest versions. */
    private final VersionView versions;

    /** The bases of the groups that each engine is to hold. */
    private final Map<EndpointName, List<String>> placed = new TreeMap<>();

    /** The numbers of engines of each group. */
    private final Multiset<String> counts = HashMultiset.create();

    /** The numbers of engines of each group in each availability zone. */
    private final Multiset<GroupInZone> zoneCounts = HashMultiset.create();

    /** The changes of the placement. */
    private final List<Move> moves = new ArrayList<>();

    /**
     * Creates a new policy.
     *
     * @param groups The groups of models.
     * @param engines The engines that are available for placement.
     * @param versions The newest versions.
     */
    PlacementPolicy(List<ModelGroup> groups, List<EngineRow> engines, VersionView versions) {
        groups.forEach(group -> this.groups.put(group.base(), group));
        engines.forEach(engine -> this.engines.put(engine.name(), engine));
        this.versions = versions;
    }

    /**
     * Places the groups.
     *
     * @param before The previous placement, which may be empty.
     * @return The placement.
     */
    Placement place(Map<EndpointName, List<String>> before) {
        if (groups.isEmpty() || engines.isEmpty()) {
            return new Placement(Map.of(), List.of(), true);
        }
        engines.values().forEach(engine -> keep(engine, before.getOrDefault(engine.name(), List.of())));
        assignUnplaced();
        boolean settled = balance();
        groups.keySet().forEach(this::ensureEngine);
        return new Placement(placed, moves, settled);
    }

    /**
     * Keeps the group of an engine: the one placed on it before, or else one that it holds.
     *
     * @param engine The engine.
     * @param before The bases of the groups that were placed on the engine before.
     */
    private void keep(EngineRow engine, List<String> before) {
        Optional<String> first = before.stream().filter(groups::containsKey).findFirst();
        Optional<String> kept = first.or(() -> findHeld(engine));
        kept.ifPresent(base -> put(engine.name(), List.of(base)));
        if (first.isEmpty() && kept.isPresent()) {
            explain(engine.name(), "the engine holds it already");
        }
    }

    /**
     * Finds the least stale group that an engine holds.
     *
     * @param engine The engine.
     * @return The base of the group, or empty if the engine holds none.
     */
    private Optional<String> findHeld(EngineRow engine) {
        return groups.values().stream()
                .filter(group -> holds(engine, group))
                .min(Comparator.comparingLong((ModelGroup group) -> staleness(engine, group))
                        .thenComparing(ModelGroup::base))
                .map(ModelGroup::base);
    }

    /**
     * Returns whether an engine holds any trained model of a group.
     *
     * @param engine The engine.
     * @param group The group.
     * @return {@code true} if it does.
     */
    private static boolean holds(EngineRow engine, ModelGroup group) {
        return group.models().stream()
                .anyMatch(model -> engine.loaded(model.name()).isPresent());
    }

    /**
     * Returns by how many versions an engine lags on a group.
     *
     * @param engine The engine.
     * @param group The group.
     * @return The number of versions by which the least stale model of the group lags.
     */
    private long staleness(EngineRow engine, ModelGroup group) {
        return group.models().stream()
                .filter(model -> engine.loaded(model.name()).isPresent())
                .mapToLong(model -> versions.newest(model.trainer())
                                .map(PublishedVersion::version)
                                .orElse(0L)
                        - engine.loaded(model.name()).get())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Places groups on the engines that have none yet. */
    private void assignUnplaced() {
        Map<AvailabilityZone, Deque<EndpointName>> unplaced = new TreeMap<>();
        for (EngineRow engine : engines.values()) {
            if (!placed.containsKey(engine.name())) {
                unplaced.computeIfAbsent(engine.availabilityZone(), _zone -> new ArrayDeque<>())
                        .add(engine.name());
            }
        }
        while (!unplaced.isEmpty()) {
            String base = mostBelowShare();
            AvailabilityZone zone = unplaced.keySet().stream()
                    .min(Comparator.comparingInt(candidate -> zoneCounts.count(new GroupInZone(base, candidate))))
                    .orElseThrow();
            EndpointName engine = unplaced.get(zone).remove();
            if (unplaced.get(zone).isEmpty()) {
                unplaced.remove(zone);
            }
            put(engine, List.of(base));
            explain(engine, "the engine had no model, and this one is furthest below its share");
        }
    }

    /**
     * Moves engines from groups above their shares to groups below.
     *
     * @return {@code true} if no more moves are needed.
     */
    private boolean balance() {
        for (int round = 0; round < MAXIMUM_MOVES; round++) {
            String receiver = mostBelowShare();
            String donor = groups.keySet().stream()
                    .max(Comparator.comparingDouble(this::excess))
                    .orElseThrow();
            if (excess(donor) - excess(receiver) <= MOVE_THRESHOLD) {
                return true;
            }
            move(donor, receiver, "the shares deviate from the weights by more than the hysteresis");
        }
        return false;
    }

    /**
     * Ensures that a group has an engine, which it shares with another group if there are fewer engines than groups.
     *
     * @param base The base of the group.
     */
    private void ensureEngine(String base) {
        if (count(base) > 0) {
            return;
        }
        Optional<String> donor = groups.keySet().stream()
                .filter(other -> count(other) > 1)
                .max(Comparator.comparingDouble(this::excess));
        if (donor.isPresent()) {
            move(donor.get(), base, "each model needs an engine");
            return;
        }
        EndpointName host = placed.keySet().stream()
                .min(Comparator.comparingInt(
                                (EndpointName name) -> placed.get(name).size())
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
        List<String> shared = new ArrayList<>(placed.get(host));
        shared.add(base);
        put(host, List.copyOf(shared));
        explain(host, "there are fewer engines than models");
    }

    /**
     * Moves an engine from one group to another.
     *
     * @param from The base of the group that loses the engine.
     * @param to The base of the group that gets it.
     * @param reason The reason.
     */
    private void move(String from, String to, String reason) {
        EndpointName engine = placed.keySet().stream()
                .filter(name -> placed.get(name).get(0).equals(from))
                .min(Comparator.comparing((EndpointName name) -> !holds(engines.get(name), groups.get(to)))
                        .thenComparing(name -> zoneCount(to, name) - zoneCount(from, name))
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
        put(engine, List.of(to));
        explain(engine, reason);
    }

    /**
     * Finds the group that is furthest below its share.
     *
     * @return The group's base.
     */
    private String mostBelowShare() {
        return groups.keySet().stream()
                .min(Comparator.comparingDouble(this::excess))
                .orElseThrow();
    }

    /**
     * Returns by how many engines a group exceeds its share.
     *
     * @param base The group's base.
     * @return The number of engines, negative if the group is below its share.
     */
    private double excess(String base) {
        int total = groups.values().stream().mapToInt(ModelGroup::weight).sum();
        return count(base) - (double) engines.size() * groups.get(base).weight() / total;
    }

    /**
     * Counts the engines of a group.
     *
     * @param base The group's base.
     * @return The number of engines.
     */
    private int count(String base) {
        return counts.count(base);
    }

    /**
     * Counts the engines of a group in the availability zone of an engine.
     *
     * @param base The group's base.
     * @param engine The engine.
     * @return The number of engines.
     */
    private int zoneCount(String base, EndpointName engine) {
        return zoneCounts.count(new GroupInZone(base, engines.get(engine).availabilityZone()));
    }

    /**
     * Places groups on an engine.
     *
     * @param engine The engine.
     * @param bases The bases of the groups that the engine is to hold.
     */
    private void put(EndpointName engine, List<String> bases) {
        AvailabilityZone zone = engines.get(engine).availabilityZone();
        List<String> replaced = placed.put(engine, bases);
        if (replaced != null) {
            replaced.forEach(base -> count(base, zone, -1));
        }
        bases.forEach(base -> count(base, zone, 1));
    }

    /**
     * Updates the counts of a group's engines.
     *
     * @param base The base of the group.
     * @param zone The availability zone of the engine.
     * @param change One, or minus one if the engine no longer holds the group.
     */
    private void count(String base, AvailabilityZone zone, int change) {
        GroupInZone groupInZone = new GroupInZone(base, zone);
        counts.setCount(base, counts.count(base) + change);
        zoneCounts.setCount(groupInZone, zoneCounts.count(groupInZone) + change);
    }

    /**
     * Records a change of the placement.
     *
     * @param engine The engine that it concerns.
     * @param reason The reason.
     */
    private void explain(EndpointName engine, String reason) {
        List<Decision.Candidate> candidates = groups.keySet().stream()
                .map(base -> new Decision.Candidate(base, excess(base)))
                .toList();
        moves.add(new Move(engine, placed.get(engine), reason, candidates));
    }

    /**
     * A placement.
     *
     * @param groups The bases of the groups that each engine is to hold.
     * @param moves The changes from the previous placement, with their reasons.
     * @param settled {@code true} if no more moves are needed.
     */
    record Placement(Map<EndpointName, List<String>> groups, List<Move> moves, boolean settled) {}

    /**
     * A group in an availability zone.
     *
     * @param base The base of the group.
     * @param zone The availability zone.
     */
    private record GroupInZone(String base, AvailabilityZone zone) {}

    /**
     * A change of the placement.
     *
     * @param engine The engine.
     * @param groups The bases of the groups that the engine is to hold.
     * @param reason The reason.
     * @param candidates The groups with the numbers of engines by which they exceed their shares after the change.
     */
    record Move(EndpointName engine, List<String> groups, String reason, List<Decision.Candidate> candidates) {}
}
