package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which engines of a pool hold which models, for the pools whose leases this node holds. A new holder begins
 * with what the engines hold, as it read them back, so that a change of holder moves nothing.
 */
public final class PlacementSystem implements DecisionSystem {

    /** The time for which an engine must be gone before its models are placed elsewhere. */
    private static final Duration ABSENCE = Duration.ofSeconds(30);

    /** The kind of the decisions that this system makes. */
    private static final String DECISION = "place";

    /** The shared tables. */
    private final WeightTables tables;

    /** The newest versions. */
    private final VersionView versions;

    /** What the placements of pools were last computed from. */
    private final Map<PoolName, Basis> bases = new HashMap<>();

    /**
     * Creates a new system.
     *
     * @param tables The shared tables.
     * @param versions The newest versions.
     */
    public PlacementSystem(WeightTables tables, VersionView versions) {
        this.tables = tables;
        this.versions = versions;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        bases.keySet().removeIf(name -> !tables.pools().contains(name));
        tables.duePools().forEach(pool -> place(tick, pool));
    }

    /**
     * Places the models of a pool if its engines or its trainers changed.
     *
     * @param tick The tick.
     * @param pool The pool.
     */
    private void place(Tick tick, PoolRow pool) {
        List<EngineRow> engines = tables.enginesOf(pool);
        if (pool.placement().isEmpty() && !isKnown(tick.now(), pool, engines)) {
            return;
        }
        List<EngineRow> present =
                engines.stream().filter(engine -> isPresent(tick.now(), engine)).toList();
        List<EndpointName> names = present.stream().map(EngineRow::name).toList();
        Basis basis = new Basis(names, pool.plan().groups(), pool.lease().since());
        if (basis.equals(bases.get(pool.name()))) {
            return;
        }
        PlacementPolicy policy = new PlacementPolicy(pool.plan().groups(), present, versions);
        PlacementPolicy.Placement placement = policy.place(pool.placement());
        if (placement.settled()) {
            bases.put(pool.name(), basis);
        }
        placement.moves().forEach(move -> explain(tick, move));
        Map<EndpointName, List<String>> extended = new HashMap<>(pool.placement());
        extended.keySet().retainAll(pool.plan().engines().keySet());
        extended.putAll(placement.groups());
        tables.pools().put(pool.name(), pool.withPlacement(extended));
    }

    /**
     * Returns whether enough is known of the engines to begin with what they hold.
     *
     * @param now The current time.
     * @param pool The pool.
     * @param engines The engines of the pool.
     * @return {@code true} if each engine answered or could not be reached, or the longest flight of an order has
     *     passed.
     */
    private static boolean isKnown(MonotonicTime now, PoolRow pool, List<EngineRow> engines) {
        boolean all = engines.stream()
                .allMatch(engine -> engine.reading().isPresent()
                        || engine.unreachableSince().isPresent());
        boolean late =
                now.since(pool.lease().since()).compareTo(pool.plan().settings().orderTimeout()) >= 0;
        return all || (late && engines.stream().anyMatch(EngineRow::isUsable));
    }

    /**
     * Returns whether an engine counts for placement.
     *
     * @param now The current time.
     * @param engine The engine.
     * @return {@code true} if the engine answered and is neither leaving nor gone for long.
     */
    private static boolean isPresent(MonotonicTime now, EngineRow engine) {
        boolean gone = engine.unreachableSince()
                .filter(since -> now.since(since).compareTo(ABSENCE) >= 0)
                .isPresent();
        return engine.reading().isPresent() && !engine.leaving() && !gone;
    }

    /**
     * Explains a change of the placement.
     *
     * @param tick The tick.
     * @param move The change.
     */
    private static void explain(Tick tick, PlacementPolicy.Move move) {
        Optional<String> chosen = move.groups().stream().reduce((left, right) -> left + ',' + right);
        tick.decide(new Decision(
                DECISION,
                move.engine().toString(),
                chosen.orElse(Decision.NO_CHOICE),
                move.reason(),
                move.candidates()));
    }

    /**
     * What a placement is computed from. The placement is computed anew only when this changes.
     *
     * @param engines The engines that count.
     * @param groups The groups of models.
     * @param heldSince The time since which this node is the holder.
     */
    private record Basis(List<EndpointName> engines, List<ModelGroup> groups, MonotonicTime heldSince) {}
}
