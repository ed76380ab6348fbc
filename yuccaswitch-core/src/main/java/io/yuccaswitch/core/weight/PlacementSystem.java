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
 * Decides which engines of a pool hold which models, for the pools whose leases this node holds. A new holder starts
 * from the models that it read back from the engines, so that a change of holder moves no model.
 */
public final class PlacementSystem implements DecisionSystem {

    /** The time for which an engine must be unreachable before its models are placed elsewhere. */
    private static final Duration REPLACEMENT_DELAY = Duration.ofSeconds(30);

    /** The kind of the decisions that this system makes. */
    private static final String DECISION_KIND = "place";

    /** The shared tables. */
    private final WeightTables tables;

    /** The newest versions. */
    private final VersionView versions;

    /** The inputs of the last settled placement of each pool. */
    private final Map<PoolName, Inputs> lastInputs = new HashMap<>();

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
        lastInputs.keySet().removeIf(name -> !tables.pools().contains(name));
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
        if (pool.placement().isEmpty() && !isReadyForPlacement(tick.now(), pool, engines)) {
            return;
        }
        List<EngineRow> available = engines.stream()
                .filter(engine -> isAvailable(tick.now(), engine))
                .toList();
        List<EndpointName> names = available.stream().map(EngineRow::name).toList();
        Inputs inputs = new Inputs(names, pool.plan().groups(), pool.lease().since());
        if (inputs.equals(lastInputs.get(pool.name()))) {
            return;
        }
        PlacementPolicy policy = new PlacementPolicy(pool.plan().groups(), available, versions);
        PlacementPolicy.Placement placement = policy.place(pool.placement());
        if (placement.settled()) {
            lastInputs.put(pool.name(), inputs);
        }
        placement.moves().forEach(move -> explain(tick, move));
        Map<EndpointName, List<String>> extended = new HashMap<>(pool.placement());
        extended.keySet().retainAll(pool.plan().engines().keySet());
        extended.putAll(placement.groups());
        tables.pools().put(pool.name(), pool.withPlacement(extended));
    }

    /**
     * Returns whether the state of the engines suffices for a first placement.
     *
     * @param now The current time.
     * @param pool The pool.
     * @param engines The engines of the pool.
     * @return {@code true} if each engine answered or is unreachable, or if the order timeout has passed and at least
     *     one engine is usable.
     */
    private static boolean isReadyForPlacement(MonotonicTime now, PoolRow pool, List<EngineRow> engines) {
        boolean all = engines.stream()
                .allMatch(engine -> engine.reading().isPresent()
                        || engine.unreachableSince().isPresent());
        boolean late =
                now.since(pool.lease().since()).compareTo(pool.plan().settings().orderTimeout()) >= 0;
        return all || (late && engines.stream().anyMatch(EngineRow::isUsable));
    }

    /**
     * Returns whether an engine is available for placement.
     *
     * @param now The current time.
     * @param engine The engine.
     * @return {@code true} if the engine answered, is not leaving and has not been unreachable for long.
     */
    private static boolean isAvailable(MonotonicTime now, EngineRow engine) {
        boolean gone = engine.unreachableSince()
                .filter(since -> now.since(since).compareTo(REPLACEMENT_DELAY) >= 0)
                .isPresent();
        return engine.reading().isPresent() && !engine.leaving() && !gone;
    }

    /**
     * Records a change of the placement.
     *
     * @param tick The tick.
     * @param move The change.
     */
    private static void explain(Tick tick, PlacementPolicy.Move move) {
        Optional<String> chosen = move.groups().stream().reduce((left, right) -> left + ',' + right);
        tick.decide(new Decision(
                DECISION_KIND,
                move.engine().toString(),
                chosen.orElse(Decision.NO_CHOICE),
                move.reason(),
                move.candidates()));
    }

    /**
     * The inputs of a placement, which is computed again only when they change.
     *
     * @param engines The engines that are available for placement.
     * @param groups The groups of models.
     * @param heldSince The time since which this node is the holder.
     */
    private record Inputs(List<EndpointName> engines, List<ModelGroup> groups, MonotonicTime heldSince) {}
}
