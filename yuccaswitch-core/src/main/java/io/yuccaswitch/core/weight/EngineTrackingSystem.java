package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.WeightSettings;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.endpoint.EndpointEffect;
import io.yuccaswitch.core.endpoint.EndpointEvent;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.lease.HeldLease;
import io.yuccaswitch.core.lease.LeaseName;
import io.yuccaswitch.core.lease.LeaseView;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the tables of the pools whose leases this node holds and of their engines, and reads the engines back. A node
 * that becomes a holder trusts nothing that it knew of the engines before.
 */
public final class EngineTrackingSystem implements DecisionSystem {

    /** The shortest time between two looks at a small pool. */
    private static final Duration SHORTEST_PASS = Duration.ofMillis(50);

    /** The time that each engine adds to the shortest time between two looks, which bounds the work for large pools. */
    private static final Duration PASS_PER_ENGINE = Duration.ofNanos(100_000);

    /** The longest time between two looks at a pool. */
    private static final Duration LONGEST_PASS = Duration.ofSeconds(1);

    /** The largest number of engines of a pool that are read back in a second without a special reason. */
    private static final int ROUTINE_PROBES_PER_SECOND = 50;

    /** The largest number of engines of a pool that are read back for the first time in a second. */
    private static final int FIRST_PROBES_PER_SECOND = 500;

    /** The number of read-backs of an engine in the read-back interval while it has an order. */
    private static final int AWAITING_PROBES = 4;

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** The kind of the decisions that this system makes. */
    private static final String DECISION = "weights";

    /** The shared tables. */
    private final WeightTables tables;

    /** The leases. */
    private final LeaseView leases;

    /** What the configuration says about each pool. */
    private Map<PoolName, PoolRow.Plan> plans = Map.of();

    /** The times of the last looks at pools. */
    private final Map<PoolName, MonotonicTime> passes = new HashMap<>();

    /** The pools that something happened to since the last look at them. */
    private final Set<PoolName> changed = new HashSet<>();

    /** The places in the lists of engines at which the routine read-back of pools goes on. */
    private final Map<PoolName, Integer> positions = new HashMap<>();

    /** The routine read-backs of pools that are allowed at once. */
    private final Map<PoolName, Double> allowances = new HashMap<>();

    /**
     * Creates a new system.
     *
     * @param tables The shared tables.
     * @param leases The leases.
     */
    public EngineTrackingSystem(WeightTables tables, LeaseView leases) {
        this.tables = tables;
        this.leases = leases;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (ConfigurationEvent.InForce event : tick.events(ConfigurationEvent.InForce.class)) {
            configure(tick, event.configuration());
        }
        plans.forEach((pool, plan) -> hold(tick, pool, plan));
        if (tables.pools().size() == 0) {
            tables.due().clear();
            return;
        }
        tick.events(EndpointEvent.class).forEach(event -> learn(tick, event));
        if (!tick.events(WeightEvent.class).isEmpty()) {
            plans.keySet().forEach(changed::add);
        }
        selectDue(tick.now());
        tables.duePools().forEach(pool -> probe(tick, pool));
    }

    /**
     * Takes a configuration into force.
     *
     * @param tick The tick.
     * @param inForce The configuration.
     */
    private void configure(Tick tick, FleetConfiguration inForce) {
        plans = WeightPlans.derive(inForce);
        for (PoolRow pool : tables.pools().rows()) {
            PoolRow.Plan plan = plans.get(pool.name());
            if (plan == null) {
                release(pool.name());
                continue;
            }
            Set<EndpointName> removed = new HashSet<>(pool.plan().engines().keySet());
            removed.removeAll(plan.engines().keySet());
            removed.forEach(tables.engines()::remove);
            tables.pools().put(pool.name(), pool.withPlan(plan));
            fill(tick, pool.name(), plan);
        }
    }

    /**
     * Adds rows for the engines of a pool that have none, and updates the others.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param plan What the configuration says about the pool.
     */
    private void fill(Tick tick, PoolName pool, PoolRow.Plan plan) {
        changed.add(pool);
        plan.engines().forEach((name, settings) -> {
            Optional<EngineRow> known = tables.engines().find(name);
            EngineRow row = known.map(present -> present.withSettings(settings))
                    .orElseGet(() -> EngineRow.unknown(name, settings, tick.now()));
            tables.engines().put(name, row);
        });
    }

    /**
     * Looks whether this node holds the lease of a pool.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param plan What the configuration says about the pool.
     */
    private void hold(Tick tick, PoolName pool, PoolRow.Plan plan) {
        Optional<HeldLease> held = leases.held(LeaseName.ofWeights(pool), tick.now());
        Optional<PoolRow> row = tables.pools().find(pool);
        if (held.isEmpty()) {
            row.ifPresent(_row -> release(pool));
            return;
        }
        boolean unbroken = row.filter(
                        known -> known.lease().since().equals(held.get().since()))
                .isPresent();
        if (unbroken) {
            tables.pools().put(pool, row.get().withLease(held.get()));
            return;
        }
        release(pool);
        tables.pools().put(pool, new PoolRow(pool, plan, held.get(), Map.of()));
        fill(tick, pool, plan);
    }

    /**
     * Forgets a pool and its engines.
     *
     * @param pool The pool.
     */
    private void release(PoolName pool) {
        tables.pools().remove(pool);
        tables.engines().removeIf(engine -> engine.name().pool().equals(pool));
        passes.remove(pool);
        positions.remove(pool);
        allowances.remove(pool);
    }

    /**
     * Takes in what was learned about an engine.
     *
     * @param tick The tick.
     * @param event What was learned.
     */
    private void learn(Tick tick, EndpointEvent event) {
        Optional<EngineRow> row = tables.engines().find(event.endpoint());
        if (row.isEmpty()) {
            return;
        }
        if (event instanceof EndpointEvent.Reported reported) {
            EngineRow read = read(tick, row.get(), reported);
            tables.engines().put(event.endpoint(), read);
            if (isRelevant(row.get(), read)) {
                changed.add(event.endpoint().pool());
            }
        } else if (event instanceof EndpointEvent.Unreachable) {
            tables.engines().put(event.endpoint(), row.get().withUnreachable(tick.now()));
        } else if (event instanceof EndpointEvent.Leaving leaving) {
            boolean current = leaving.incarnation().isEmpty()
                    || row.get()
                            .reading()
                            .filter(reading -> reading.incarnation().equals(leaving.incarnation()))
                            .isPresent();
            if (current) {
                tables.engines().put(event.endpoint(), row.get().withLeaving());
            }
        }
    }

    /**
     * Returns whether a report calls for a look at the pool.
     *
     * @param before The engine before the report.
     * @param after The engine after the report.
     * @return {@code true} if anything but the time of the next read-back changed.
     */
    private static boolean isRelevant(EngineRow before, EngineRow after) {
        return !before.reading().equals(after.reading())
                || !before.unreachableSince().equals(after.unreachableSince())
                || !before.order().equals(after.order())
                || before.leaving() != after.leaving();
    }

    /**
     * Takes in an engine's own report.
     *
     * @param tick The tick.
     * @param row The engine.
     * @param event The report.
     * @return The changed engine.
     */
    private EngineRow read(Tick tick, EngineRow row, EndpointEvent.Reported event) {
        EngineRow.Reading reading = new EngineRow.Reading(event.incarnation(), event.loadedVersions());
        boolean sameLife = row.reading()
                .filter(before -> before.incarnation().equals(event.incarnation()))
                .isPresent();
        if (sameLife) {
            explainDowngrades(tick, row, reading);
        }
        boolean leaving = event.leaving() || (row.leaving() && sameLife);
        Duration interval = settings(row).readBackInterval();
        Duration pause = row.isAwaited() ? interval.dividedBy(AWAITING_PROBES) : interval;
        EngineRow read =
                row.withReading(reading, leaving, tick.now().plus(pause)).withoutHealedFailures();
        boolean restarted = row.reading().isPresent() && !sameLife;
        return row.order().map(order -> settle(tick, read, order, restarted)).orElse(read);
    }

    /**
     * Compares an order with what was read back from its engine.
     *
     * @param tick The tick.
     * @param row The engine, as it was read back.
     * @param order The order.
     * @param restarted {@code true} if the engine started again since it was read back before.
     * @return The changed engine.
     */
    private EngineRow settle(Tick tick, EngineRow row, EngineOrder order, boolean restarted) {
        boolean holds = row.loaded(order.model())
                .filter(version -> version >= order.version())
                .isPresent();
        if (holds) {
            explain(tick, row, order.model() + '@' + order.version(), "read back from the engine");
            return row.withOrder(Optional.empty()).withoutFailure(order.model());
        }
        if (!restarted) {
            return row;
        }
        explain(tick, row, Decision.NO_CHOICE, "the engine started again while it had an order");
        return row.withFailure(order, false, settings(row).retryBackoff(), tick.now());
    }

    /**
     * Explains models whose versions became older without a restart of the engine, as an order of an earlier holder may
     * bring about at an engine that ignores fencing numbers.
     *
     * @param tick The tick.
     * @param row The engine, as it was read back before.
     * @param reading What was read back.
     */
    private static void explainDowngrades(Tick tick, EngineRow row, EngineRow.Reading reading) {
        row.reading().orElseThrow().versions().forEach((model, before) -> {
            Long now = reading.versions().get(model);
            if (now != null && now < before) {
                explain(tick, row, model + '@' + now, "went back from version " + before + " without a restart");
            }
        });
    }

    /**
     * Explains what was learned about an engine.
     *
     * @param tick The tick.
     * @param row The engine.
     * @param choice What the engine holds.
     * @param reason How this is known.
     */
    private static void explain(Tick tick, EngineRow row, String choice, String reason) {
        tick.decide(Decision.of(DECISION, row.name().toString(), choice, reason));
    }

    /**
     * Selects the pools that are to be looked at in this tick.
     *
     * @param now The current time.
     */
    private void selectDue(MonotonicTime now) {
        tables.due().clear();
        for (PoolRow pool : tables.pools().view()) {
            MonotonicTime last = passes.get(pool.name());
            Duration shortest = SHORTEST_PASS.plus(
                    PASS_PER_ENGINE.multipliedBy(pool.plan().engines().size()));
            Duration pause = changed.contains(pool.name()) ? shortest : LONGEST_PASS;
            if (last == null || now.since(last).compareTo(pause) >= 0) {
                tables.due().add(pool.name());
                changed.remove(pool.name());
            }
        }
    }

    /**
     * Reads engines of a pool back: at once those that have an order, and the others in turn, at most so many in a
     * second.
     *
     * @param tick The tick.
     * @param pool The pool.
     */
    private void probe(Tick tick, PoolRow pool) {
        MonotonicTime last = passes.getOrDefault(pool.name(), tick.now().plus(LONGEST_PASS.negated()));
        passes.put(pool.name(), tick.now());
        double seconds = Math.min(1, tick.now().since(last).toNanos() / NANOSECONDS_PER_SECOND);
        double routine = allowances.getOrDefault(pool.name(), 0.0) + seconds * ROUTINE_PROBES_PER_SECOND;
        double first = seconds * FIRST_PROBES_PER_SECOND;
        List<EngineRow> engines = tables.enginesOf(pool);
        int start = positions.getOrDefault(pool.name(), 0);
        for (int offset = 0; offset < engines.size(); offset++) {
            int index = (start + offset) % engines.size();
            EngineRow engine = engines.get(index);
            if (tick.now().isBefore(engine.nextProbeAt())) {
                continue;
            }
            boolean unread =
                    engine.reading().isEmpty() && engine.unreachableSince().isEmpty();
            if (engine.isAwaited()) {
                read(tick, pool, engine);
            } else if (unread && first >= 1) {
                first--;
                read(tick, pool, engine);
            } else if (routine >= 1) {
                routine--;
                positions.put(pool.name(), index + 1);
                read(tick, pool, engine);
            }
        }
        allowances.put(pool.name(), Math.min(routine, ROUTINE_PROBES_PER_SECOND));
    }

    /**
     * Reads an engine back.
     *
     * @param tick The tick.
     * @param pool The engine's pool.
     * @param engine The engine.
     */
    private void read(Tick tick, PoolRow pool, EngineRow engine) {
        tick.emit(new EndpointEffect.Probe(engine.name(), engine.address()));
        MonotonicTime next = tick.now().plus(pool.plan().settings().readBackInterval());
        tables.engines().put(engine.name(), engine.withNextProbeAt(next));
    }

    /**
     * Returns the settings of weights of an engine's pool.
     *
     * @param row The engine.
     * @return The settings.
     */
    private WeightSettings settings(EngineRow row) {
        return tables.pools().find(row.name().pool()).orElseThrow().plan().settings();
    }
}
