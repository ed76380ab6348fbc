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
 * Maintains the tables of the pools whose leases this node holds and of their engines, and reads the engines' versions
 * back. A node that becomes a holder discards all earlier state of the engines.
 */
public final class EngineTrackingSystem implements DecisionSystem {

    /** The minimum time between two passes over a small pool. */
    private static final Duration MINIMUM_PASS_INTERVAL = Duration.ofMillis(50);

    /** The time that each engine adds to the minimum time between two passes, which bounds the work for large pools. */
    private static final Duration PASS_INTERVAL_PER_ENGINE = Duration.ofNanos(100_000);

    /** The maximum time between two passes over a pool. */
    private static final Duration MAXIMUM_PASS_INTERVAL = Duration.ofSeconds(1);

    /** The maximum number of routine read-backs per second in a pool. */
    private static final int ROUTINE_PROBES_PER_SECOND = 50;

    /** The maximum number of engines per second in a pool that are read back for the first time. */
    private static final int INITIAL_PROBES_PER_SECOND = 500;

    /** The number of read-backs per read-back interval of an engine whose ended order has not been confirmed. */
    private static final int UNCONFIRMED_ORDER_PROBES = 4;

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** The kind of the decisions that this system makes. */
    private static final String DECISION_KIND = "weights";

    /** The shared tables. */
    private final WeightTables tables;

    /** The leases. */
    private final LeaseView leases;

    /** The weight plan of each pool from the configuration. */
    private Map<PoolName, PoolRow.Plan> plans = Map.of();

    /** The times of the last passes over pools. */
    private final Map<PoolName, MonotonicTime> lastPasses = new HashMap<>();

    /** The pools that changed since the last pass over them. */
    private final Set<PoolName> changed = new HashSet<>();

    /** The indexes in the pools' lists of engines at which the next read-back starts. */
    private final Map<PoolName, Integer> nextProbeIndexes = new HashMap<>();

    /** The number of routine read-backs that each pool has accumulated and may do at once. */
    private final Map<PoolName, Double> probeAllowances = new HashMap<>();

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
        for (ConfigurationEvent.Activated event : tick.events(ConfigurationEvent.Activated.class)) {
            configure(tick, event.configuration());
        }
        plans.forEach((pool, plan) -> updateLease(tick, pool, plan));
        if (tables.pools().size() == 0) {
            tables.due().clear();
            return;
        }
        tick.events(EndpointEvent.class).forEach(event -> handleEvent(tick, event));
        if (!tick.events(WeightEvent.class).isEmpty()) {
            plans.keySet().forEach(changed::add);
        }
        selectDue(tick.now());
        tables.duePools().forEach(pool -> probe(tick, pool));
    }

    /**
     * Applies a configuration.
     *
     * @param tick The tick.
     * @param inForce The configuration.
     */
    private void configure(Tick tick, FleetConfiguration inForce) {
        plans = WeightPlans.derive(inForce);
        for (PoolRow pool : tables.pools().rows()) {
            PoolRow.Plan plan = plans.get(pool.name());
            if (plan == null) {
                removePool(pool.name());
                continue;
            }
            Set<EndpointName> removed = new HashSet<>(pool.plan().engines().keySet());
            removed.removeAll(plan.engines().keySet());
            removed.forEach(tables.engines()::remove);
            tables.pools().put(pool.name(), pool.withPlan(plan));
            addEngines(tick, pool.name(), plan);
        }
    }

    /**
     * Adds rows for the new engines of a pool and updates the existing ones.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param plan The pool's weight plan.
     */
    private void addEngines(Tick tick, PoolName pool, PoolRow.Plan plan) {
        changed.add(pool);
        plan.engines().forEach((name, settings) -> {
            Optional<EngineRow> known = tables.engines().find(name);
            EngineRow row = known.map(present -> present.withSettings(settings))
                    .orElseGet(() -> EngineRow.unknown(name, settings, tick.now()));
            tables.engines().put(name, row);
        });
    }

    /**
     * Updates the tables depending on whether this node holds the lease of a pool.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param plan The pool's weight plan.
     */
    private void updateLease(Tick tick, PoolName pool, PoolRow.Plan plan) {
        Optional<HeldLease> held = leases.held(LeaseName.ofWeights(pool), tick.now());
        Optional<PoolRow> row = tables.pools().find(pool);
        if (held.isEmpty()) {
            row.ifPresent(_row -> removePool(pool));
            return;
        }
        boolean heldContinuously = row.filter(
                        known -> known.lease().since().equals(held.get().since()))
                .isPresent();
        if (heldContinuously) {
            tables.pools().put(pool, row.get().withLease(held.get()));
            return;
        }
        removePool(pool);
        tables.pools().put(pool, new PoolRow(pool, plan, held.get(), Map.of()));
        addEngines(tick, pool, plan);
    }

    /**
     * Removes a pool and its engines.
     *
     * @param pool The pool.
     */
    private void removePool(PoolName pool) {
        tables.pools().remove(pool);
        tables.engines().removeIf(engine -> engine.name().pool().equals(pool));
        lastPasses.remove(pool);
        nextProbeIndexes.remove(pool);
        probeAllowances.remove(pool);
    }

    /**
     * Handles an event of an engine.
     *
     * @param tick The tick.
     * @param event The event.
     */
    private void handleEvent(Tick tick, EndpointEvent event) {
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
     * Returns whether a report requires a pass over the pool.
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
     * Applies an engine's report.
     *
     * @param tick The tick.
     * @param row The engine.
     * @param event The report.
     * @return The changed engine.
     */
    private EngineRow read(Tick tick, EngineRow row, EndpointEvent.Reported event) {
        EngineRow.Reading reading = new EngineRow.Reading(event.incarnation(), event.loadedVersions());
        boolean sameIncarnation = row.reading()
                .filter(before -> before.incarnation().equals(event.incarnation()))
                .isPresent();
        if (sameIncarnation) {
            explainDowngrades(tick, row, reading);
        }
        boolean leaving = event.leaving() || (row.leaving() && sameIncarnation);
        Duration interval = settings(row).readBackInterval();
        Duration delay = row.isAwaitingReadBack() ? interval.dividedBy(UNCONFIRMED_ORDER_PROBES) : interval;
        EngineRow read =
                row.withReading(reading, leaving, tick.now().plus(delay)).withoutResolvedFailures();
        boolean restarted = row.reading().isPresent() && !sameIncarnation;
        return row.order()
                .map(order -> updateOrder(tick, read, order, restarted))
                .orElse(read);
    }

    /**
     * Compares an order with the versions that were read back from its engine.
     *
     * @param tick The tick.
     * @param row The engine after the read-back.
     * @param order The order.
     * @param restarted {@code true} if the engine restarted since the previous read-back.
     * @return The changed engine.
     */
    private EngineRow updateOrder(Tick tick, EngineRow row, EngineOrder order, boolean restarted) {
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
        explain(tick, row, Decision.NO_CHOICE, "the engine restarted before the order was confirmed");
        return row.withFailure(order, false, settings(row).retryBackoff(), tick.now());
    }

    /**
     * Records models whose versions became older without a restart of the engine. An order of a previous holder can
     * cause this at an engine that ignores fencing numbers.
     *
     * @param tick The tick.
     * @param row The engine before the read-back.
     * @param reading The versions that were read back.
     */
    private static void explainDowngrades(Tick tick, EngineRow row, EngineRow.Reading reading) {
        row.reading().orElseThrow().versions().forEach((model, before) -> {
            Long now = reading.versions().get(model);
            if (now != null && now < before) {
                explain(tick, row, model + '@' + now, "downgraded from version " + before + " without a restart");
            }
        });
    }

    /**
     * Records a decision about an engine.
     *
     * @param tick The tick.
     * @param row The engine.
     * @param choice The model and version that the engine holds, or {@link Decision#NO_CHOICE}.
     * @param reason The reason.
     */
    private static void explain(Tick tick, EngineRow row, String choice, String reason) {
        tick.decide(Decision.of(DECISION_KIND, row.name().toString(), choice, reason));
    }

    /**
     * Selects the pools that are due for processing in this tick.
     *
     * @param now The current time.
     */
    private void selectDue(MonotonicTime now) {
        tables.due().clear();
        for (PoolRow pool : tables.pools().view()) {
            MonotonicTime last = lastPasses.get(pool.name());
            Duration minimum = MINIMUM_PASS_INTERVAL.plus(
                    PASS_INTERVAL_PER_ENGINE.multipliedBy(pool.plan().engines().size()));
            Duration delay = changed.contains(pool.name()) ? minimum : MAXIMUM_PASS_INTERVAL;
            if (last == null || now.since(last).compareTo(delay) >= 0) {
                tables.due().add(pool.name());
                changed.remove(pool.name());
            }
        }
    }

    /**
     * Reads the due engines of a pool back: without a rate limit those whose ended orders have not been confirmed, and
     * the others in turn with a limited rate.
     *
     * @param tick The tick.
     * @param pool The pool.
     */
    private void probe(Tick tick, PoolRow pool) {
        MonotonicTime last = lastPasses.getOrDefault(pool.name(), tick.now().plus(MAXIMUM_PASS_INTERVAL.negated()));
        lastPasses.put(pool.name(), tick.now());
        double seconds = Math.min(1, tick.now().since(last).toNanos() / NANOSECONDS_PER_SECOND);
        double routine = probeAllowances.getOrDefault(pool.name(), 0.0) + seconds * ROUTINE_PROBES_PER_SECOND;
        double first = seconds * INITIAL_PROBES_PER_SECOND;
        List<EngineRow> engines = tables.enginesOf(pool);
        int start = nextProbeIndexes.getOrDefault(pool.name(), 0);
        for (int offset = 0; offset < engines.size(); offset++) {
            int index = (start + offset) % engines.size();
            EngineRow engine = engines.get(index);
            if (tick.now().isBefore(engine.nextProbeAt())) {
                continue;
            }
            boolean unread =
                    engine.reading().isEmpty() && engine.unreachableSince().isEmpty();
            if (engine.isAwaitingReadBack()) {
                read(tick, pool, engine);
            } else if (unread && first >= 1) {
                first--;
                read(tick, pool, engine);
            } else if (routine >= 1) {
                routine--;
                nextProbeIndexes.put(pool.name(), index + 1);
                read(tick, pool, engine);
            }
        }
        probeAllowances.put(pool.name(), Math.min(routine, ROUTINE_PROBES_PER_SECOND));
    }

    /**
     * Reads the versions of an engine back.
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
     * Returns the weight settings of an engine's pool.
     *
     * @param row The engine.
     * @return The settings.
     */
    private WeightSettings settings(EngineRow row) {
        return tables.pools().find(row.name().pool()).orElseThrow().plan().settings();
    }
}
