package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;

/**
 * Brings engines to the versions that trainers name, a few at a time, as long as this node is permitted to give orders.
 * Each order follows a report of the engine, names the number of orders that the engine has accepted, and is followed
 * by reports until the version is there.
 */
final class VersionOrderSystem implements DecisionSystem {

    /** The share of a pool's engines that load at once; beyond about this share the store of weights is the limit. */
    private static final double LOADING_SHARE = 0.29;

    /**
     * How long a version is known before engines that lag by it alone are ordered to it. A trainer asks for its next
     * step as soon as it has named a version, and that step allows the version before; an engine that loads refuses its
     * first items, which are the longest (40 to 60 starts a step met such an engine, and lost up to 0.6 s).
     */
    private static final Duration NAMING_DELAY = Duration.ofMillis(300);

    /** How long a report may take. */
    private static final Duration REPORT_TIME = Duration.ofMillis(600);

    /** How long the answer to an order may take. */
    private static final Duration ORDER_TIME = Duration.ofMillis(600);

    /** How long a load takes at least, before which no report is worth its price. */
    private static final Duration LOADING_TIME = Duration.ofSeconds(1);

    /** The pause between reports while an engine loads, or after an answer that did not help. */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(300);

    /** The pause after an order without an answer, which may still be carried out. */
    private static final Duration UNANSWERED_PAUSE = Duration.ofMillis(700);

    /** After how long an engine that does not come to a version is looked at anew. */
    private static final Duration GIVE_UP_TIME = Duration.ofSeconds(8);

    /** How long an engine that can't be asked is left alone. */
    private static final Duration FAILURE_PAUSE = Duration.ofSeconds(1);

    /** The lease. */
    private final DutyLease lease;

    /** The versions that trainers named. */
    private final NamedVersionSystem versions;

    /** The engines. */
    private final EndpointRegistrySystem registry;

    /** The configuration of routes. */
    private final RouteConfigurationSystem routes;

    /** Which model each engine is kept up to date for, by pool. */
    private final Map<PoolName, EngineAssignment> assignments = new HashMap<>();

    /** The engines that are being brought to a version. */
    private final EntityTable<EndpointName, EngineOrderRow> rows = new EntityTable<>();

    /**
     * Creates a system that gives no orders.
     *
     * @param lease The lease.
     * @param versions The versions that trainers named.
     * @param registry The engines.
     * @param routes The configuration of routes.
     */
    VersionOrderSystem(
            DutyLease lease,
            NamedVersionSystem versions,
            EndpointRegistrySystem registry,
            RouteConfigurationSystem routes) {
        this.lease = lease;
        this.versions = versions;
        this.registry = registry;
        this.routes = routes;
    }

    @Override
    public void run(Tick tick) {
        if (!lease.isHeld()) {
            rows.removeIf(_row -> true);
            assignments.clear();
            return;
        }
        tick.events(OrderEvent.ReportRead.class).forEach(read -> takeReport(tick, read));
        tick.events(OrderEvent.Ordered.class).forEach(ordered -> takeAnswer(tick, ordered));
        rows.rows().forEach(row -> advance(tick, row));
        routes.inForce().ifPresent(configuration -> begin(tick, configuration));
    }

    /**
     * Begins with engines that lag behind.
     *
     * @param tick The tick.
     * @param configuration The configuration in force.
     */
    private void begin(Tick tick, RouteConfiguration configuration) {
        if (lease.permission().isEmpty() || !versions.isListed()) {
            return;
        }
        configuration.models().forEach((pool, served) -> {
            if (!served.isEmpty()) {
                begin(tick, pool, new TreeSet<>(served));
            }
        });
    }

    /**
     * Begins with engines of a pool that lag behind.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param served The models that the pool serves.
     */
    private void begin(Tick tick, PoolName pool, Collection<String> served) {
        List<RegisteredEndpoint> engines = registry.working(pool);
        EngineAssignment assignment = assignments.computeIfAbsent(pool, _pool -> new EngineAssignment());
        assignment.adapt(engines, served, versions.named());
        long allowed = allowed(pool);
        long active = active(pool);
        engines.stream()
                .filter(engine -> !rows.contains(engine.name()))
                .flatMap(engine -> lagging(engine, assignment).stream())
                .filter(target -> isDue(tick, target))
                .sorted(Comparator.comparingLong((Target target) -> -target.lag())
                        .thenComparing(target -> target.engine().name()))
                .limit(Math.max(0, allowed - active))
                .forEach(target -> read(tick, target));
    }

    /**
     * Returns whether an engine is to be brought to its version now.
     *
     * @param tick The tick.
     * @param target The engine and the version.
     * @return {@code false} for a while after the version was named, if the engine lags by that version alone.
     */
    private boolean isDue(Tick tick, Target target) {
        return target.lag() > 1 || versions.age(target.model(), tick.now()).compareTo(NAMING_DELAY) >= 0;
    }

    /**
     * Returns how many engines of a pool may load at once.
     *
     * @param pool The pool.
     * @return The number.
     */
    private long allowed(PoolName pool) {
        return Math.max(1, Math.round(registry.working(pool).size() * LOADING_SHARE));
    }

    /**
     * Returns how many engines of a pool load or are about to. Those that do not answer don't count: two of them would
     * hold back the loads of all others.
     *
     * @param pool The pool.
     * @return The number.
     */
    private long active(PoolName pool) {
        return rows.view().stream()
                .filter(EngineOrderRow::mayLoad)
                .filter(row -> row.engine().pool().equals(pool))
                .count();
    }

    /**
     * Finds out to which version an engine is to be brought.
     *
     * @param engine The engine.
     * @param assignment Which model each engine is kept up to date for.
     * @return The target, or empty if the engine is up to date.
     */
    private Optional<Target> lagging(RegisteredEndpoint engine, EngineAssignment assignment) {
        return assignment.modelOf(engine.name()).flatMap(model -> {
            long named = versions.named().getOrDefault(model, 0L);
            long lag = named - engine.version(model).orElse(0);
            return lag > 0 ? Optional.of(new Target(engine, model, named, lag)) : Optional.empty();
        });
    }

    /**
     * Asks an engine for its report before it is ordered to a version.
     *
     * @param tick The tick.
     * @param target The engine and the version.
     */
    private void read(Tick tick, Target target) {
        rows.put(
                target.engine().name(),
                new EngineOrderRow(
                        target.engine(),
                        target.model(),
                        target.version(),
                        EngineOrderRow.Stage.READING,
                        tick.now().plus(REPORT_TIME),
                        tick.now().plus(GIVE_UP_TIME)));
        tick.emit(new OrderEffect.ReadReport(target.engine()));
    }

    /**
     * Carries out what is due at an engine.
     *
     * @param tick The tick.
     * @param row The engine's row.
     */
    private void advance(Tick tick, EngineOrderRow row) {
        EndpointName name = row.engine().name();
        Optional<RegisteredEndpoint> current = registry.find(name);
        boolean there = current.filter(engine -> engine.servesAtLeast(row.model(), row.version()))
                .isPresent();
        if (current.isEmpty() || there || !tick.now().isBefore(row.givenUpAt())) {
            rows.remove(name);
            return;
        }
        if (tick.now().isBefore(row.dueAt())) {
            return;
        }
        EngineOrderRow.Stage next = row.mayLoad() ? EngineOrderRow.Stage.READING : EngineOrderRow.Stage.PROBING;
        rows.put(name, row.withStage(next, tick.now(), REPORT_TIME));
        tick.emit(new OrderEffect.ReadReport(row.engine()));
    }

    /**
     * Takes a report: the version is there, or the engine is ordered to it.
     *
     * @param tick The tick.
     * @param read The report.
     */
    private void takeReport(Tick tick, OrderEvent.ReportRead read) {
        Optional<EngineReport> told = read.report();
        if (told.isPresent() && isOfAnotherStart(tick, read.engine(), told.get())) {
            return;
        }
        told.ifPresent(report -> report.versions()
                .forEach((model, version) -> registry.noteVersion(tick, read.engine(), model, version)));
        Optional<EngineOrderRow> row = rows.find(read.engine()).filter(EngineOrderRow::awaitsReport);
        if (row.isEmpty()) {
            return;
        }
        if (told.isEmpty()) {
            rows.put(read.engine(), row.get().withStage(EngineOrderRow.Stage.UNREACHABLE, tick.now(), FAILURE_PAUSE));
            return;
        }
        EngineReport report = told.get();
        PoolName pool = read.engine().pool();
        boolean there = report.versions().getOrDefault(row.get().model(), 0L)
                >= row.get().version();
        boolean mustWait = !row.get().mayLoad() && active(pool) >= allowed(pool);
        if (there || mustWait) {
            rows.remove(read.engine());
            return;
        }
        if (report.busy()) {
            rows.put(read.engine(), row.get().withStage(EngineOrderRow.Stage.WAITING, tick.now(), REPORT_INTERVAL));
            return;
        }
        order(tick, row.get(), report.sequence());
    }

    /**
     * Returns whether a report is not of the start of the engine that was asked. What an engine has loaded and how many
     * orders it has accepted begins anew with each start, so nothing of such a report counts.
     *
     * @param tick The tick.
     * @param engine The start that was asked.
     * @param report The report.
     * @return {@code true} if it is of another one.
     */
    private boolean isOfAnotherStart(Tick tick, EndpointName engine, EngineReport report) {
        EndpointName reporting = engine.withIncarnation(report.incarnation());
        if (engine.isBefore(reporting)) {
            registry.noteIncarnation(tick, engine, report.incarnation());
            rows.remove(engine);
            return true;
        }
        return reporting.isBefore(engine);
    }

    /**
     * Orders an engine to a version, if this node is permitted to.
     *
     * @param tick The tick.
     * @param row The engine's row.
     * @param sequence The number of orders that the engine has accepted.
     */
    private void order(Tick tick, EngineOrderRow row, long sequence) {
        OptionalLong fence = lease.permission();
        if (fence.isEmpty()) {
            rows.remove(row.engine().name());
            return;
        }
        boolean retains = routes.inForce()
                .filter(configuration ->
                        !configuration.demandsSingleVersion(row.engine().pool()))
                .isPresent();
        rows.put(row.engine().name(), row.withStage(EngineOrderRow.Stage.ORDERING, tick.now(), ORDER_TIME));
        lease.recordAction();
        tick.emit(new OrderEffect.LoadVersion(
                row.engine(), row.model(), row.version(), retains, lease.holderName(), fence.getAsLong(), sequence));
        tick.decide(Decision.of(
                "order",
                row.engine().name().value(),
                row.model() + " version " + row.version(),
                "fence " + fence.getAsLong() + " expected sequence " + sequence));
    }

    /**
     * Takes the answer to an order.
     *
     * @param tick The tick.
     * @param ordered The answer.
     */
    private void takeAnswer(Tick tick, OrderEvent.Ordered ordered) {
        lease.recordAction();
        Optional<EngineOrderRow> row =
                rows.find(ordered.engine()).filter(found -> found.stage() == EngineOrderRow.Stage.ORDERING);
        if (row.isEmpty()) {
            return;
        }
        tick.decide(Decision.of(
                "order-answer",
                ordered.engine().value(),
                ordered.outcome().name(),
                row.get().model() + " version " + row.get().version()));
        EndpointName name = ordered.engine();
        switch (ordered.outcome()) {
            case STARTED -> rows.put(name, row.get().withStage(EngineOrderRow.Stage.LOADING, tick.now(), LOADING_TIME));
            case HOLDS -> {
                registry.noteVersion(tick, name, row.get().model(), row.get().version());
                rows.remove(name);
            }
            case CONFLICT ->
                rows.put(name, row.get().withStage(EngineOrderRow.Stage.WAITING, tick.now(), REPORT_INTERVAL));
            case UNANSWERED ->
                rows.put(name, row.get().withStage(EngineOrderRow.Stage.WAITING, tick.now(), UNANSWERED_PAUSE));
            case REJECTED, GONE ->
                rows.put(name, row.get().withStage(EngineOrderRow.Stage.WAITING, tick.now(), FAILURE_PAUSE));
        }
    }

    /**
     * An engine that lags behind.
     *
     * @param engine The engine.
     * @param model The model.
     * @param version The version that it is to be brought to.
     * @param lag By how many versions it lags.
     */
    private record Target(RegisteredEndpoint engine, String model, long version, long lag) {}
}
