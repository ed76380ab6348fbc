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
import java.util.stream.Stream;

/**
 * Updates engines to the versions that trainers name, a few at a time, while this node is permitted to give orders.
 * Each order follows a report of the engine, contains the number of orders that the engine has accepted, and is
 * followed by reports until the engine has loaded the version.
 */
final class VersionOrderSystem implements DecisionSystem {

    /** The maximum share of a pool's engines that load concurrently; above it the weight store is the bottleneck. */
    private static final double MAXIMUM_LOADING_SHARE = 0.29;

    /** The timeout of a report request. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(600);

    /** The timeout of an order. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(600);

    /** The minimum duration of a load. A report requested earlier would only add load to the engine. */
    private static final Duration MINIMUM_LOADING_TIME = Duration.ofSeconds(1);

    /** The interval of report requests while an engine is loading, and the delay after an order conflict. */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(300);

    /** The delay after an order without an answer, which may still be executed. */
    private static final Duration UNANSWERED_DELAY = Duration.ofMillis(700);

    /** The timeout of the update of an engine, after which the engine is evaluated again. */
    private static final Duration UPDATE_TIMEOUT = Duration.ofSeconds(8);

    /** The extension of a load's notice while the engine reports that it is busy: until after its next report. */
    private static final Duration NOTICE_EXTENSION = REPORT_INTERVAL.multipliedBy(2);

    /** How long the nodes that run jobs are asked for their reports after the last engine was updated. */
    private static final Duration FOLLOW_DURATION = Duration.ofSeconds(1);

    /** How long an engine that is unreachable or rejects an order is skipped. */
    private static final Duration FAILURE_DELAY = Duration.ofSeconds(1);

    /** The lease. */
    private final DutyLease lease;

    /** The versions that trainers named. */
    private final NamedVersionSystem versions;

    /** The registry of engines. */
    private final EndpointRegistrySystem registry;

    /** The configuration of routes. */
    private final RouteConfigurationSystem routes;

    /** The assignments of models to engines, by pool. */
    private final Map<PoolName, EngineAssignment> assignments = new HashMap<>();

    /** The engines that are being updated to a version. */
    private final EntityTable<EndpointName, EngineOrderRow> rows = new EntityTable<>();

    /** The demand for models, or empty if loads are not coordinated with it. */
    private final Optional<ModelDemand> demand;

    /** Decides when engines are ordered. */
    private final LoadTiming timing;

    /** Announces loads, or empty if loads are not coordinated with the demand. */
    private final Optional<LoadAnnouncements> announcements;

    /**
     * Creates a system that gives no orders.
     *
     * @param lease The lease.
     * @param versions The versions that trainers named.
     * @param registry The registry of engines.
     * @param routes The configuration of routes.
     * @param demand The demand for models, or empty if loads are not coordinated with it.
     */
    VersionOrderSystem(
            DutyLease lease,
            NamedVersionSystem versions,
            EndpointRegistrySystem registry,
            RouteConfigurationSystem routes,
            Optional<ModelDemand> demand) {
        this.lease = lease;
        this.versions = versions;
        this.registry = registry;
        this.routes = routes;
        this.demand = demand;
        timing = new LoadTiming(demand);
        announcements = demand.map(LoadAnnouncements::new);
    }

    @Override
    public void run(Tick tick) {
        if (!lease.isHeld()) {
            rows.removeIf(_row -> true);
            assignments.clear();
            announcements.ifPresent(LoadAnnouncements::forget);
            return;
        }
        announcements.ifPresent(found -> found.updateRecipients(tick));
        tick.events(OrderEvent.ReportRead.class).forEach(read -> handleReport(tick, read));
        tick.events(OrderEvent.Ordered.class).forEach(ordered -> handleAnswer(tick, ordered));
        rows.rows().forEach(row -> advance(tick, row));
        routes.active().ifPresent(configuration -> begin(tick, configuration));
        announcements.ifPresent(found -> found.endWhere(tick, engine -> !mayLoad(engine)));
    }

    /**
     * Returns whether an engine may be loading.
     *
     * @param engine The engine.
     * @return {@code false} for an engine that is not being updated.
     */
    private boolean mayLoad(EndpointName engine) {
        return rows.find(engine).filter(EngineOrderRow::mayLoad).isPresent();
    }

    /**
     * Begins updates of lagging engines.
     *
     * @param tick The tick.
     * @param configuration The active configuration.
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
     * Begins updates of the lagging engines of a pool.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param served The models that the pool serves.
     */
    private void begin(Tick tick, PoolName pool, Collection<String> served) {
        List<RegisteredEndpoint> engines = registry.working(pool);
        EngineAssignment assignment = assignments.computeIfAbsent(pool, _pool -> new EngineAssignment());
        assignment.update(engines, served, versions.newestVersions());
        List<Target> targets = engines.stream()
                .filter(engine -> !rows.contains(engine.name()))
                .flatMap(engine -> findTarget(engine, assignment).stream())
                .toList();
        long activeLoads = activeLoads(pool);
        if (!targets.isEmpty() || activeLoads > 0) {
            demand.ifPresent(known -> known.followUntil(tick.now().plus(FOLLOW_DURATION)));
        }
        long free = maximumLoads(engines.size()) - activeLoads;
        if (targets.isEmpty() || free <= 0) {
            return;
        }
        Map<String, Boolean> due = new HashMap<>();
        List<Target> ordered = targets.stream()
                .filter(target -> target.lag() > 1
                        || due.computeIfAbsent(
                                target.model(), model -> timing.isDue(model, versions.age(model, tick.now()))))
                .sorted(order(tick))
                .toList();
        Map<String, Long> freeByModel = new HashMap<>();
        for (Target target : ordered) {
            long freeOfModel = freeByModel.computeIfAbsent(target.model(), model -> freeLoads(pool, model));
            if (free > 0 && freeOfModel > 0) {
                free--;
                freeByModel.put(target.model(), freeOfModel - 1);
                requestReport(tick, target);
            }
        }
    }

    /**
     * Returns the order in which engines are updated: by lag, then those of the version that was named first where
     * loads are coordinated, because the next step needs that version first.
     *
     * @param tick The tick.
     * @return The order.
     */
    private Comparator<Target> order(Tick tick) {
        return Comparator.comparingLong((Target target) -> -target.lag())
                .thenComparing(target -> demand.isPresent()
                        ? versions.age(target.model(), tick.now()).negated()
                        : Duration.ZERO)
                .thenComparing(target -> target.engine().name());
    }

    /**
     * Returns whether another engine may load a model, within the limits of its pool and of the model's engines.
     *
     * @param pool The pool.
     * @param model The model.
     * @return {@code true} if it may.
     */
    private boolean mayBegin(PoolName pool, String model) {
        return activeLoads(pool) < maximumLoads(registry.working(pool).size()) && freeLoads(pool, model) > 0;
    }

    /**
     * Returns how many further engines may load a model within the limit of the model's engines.
     *
     * @param pool The pool.
     * @param model The model.
     * @return The number, which is not limited unless loads are coordinated with the demand.
     */
    private long freeLoads(PoolName pool, String model) {
        if (demand.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long assigned = Optional.ofNullable(assignments.get(pool))
                .map(assignment -> assignment.count(model))
                .orElse(0L);
        long loading =
                loadingRows(pool).filter(row -> row.model().equals(model)).count();
        return timing.maximumLoads(model, assigned) - loading;
    }

    /**
     * Returns how many engines of a pool may load concurrently.
     *
     * @param engines The number of the pool's working engines.
     * @return The number.
     */
    private static long maximumLoads(int engines) {
        return Math.max(1, Math.round(engines * MAXIMUM_LOADING_SHARE));
    }

    /**
     * Returns how many engines of a pool are loading or about to load. Engines that do not answer don't count: two of
     * them would block the loads of all others.
     *
     * @param pool The pool.
     * @return The number.
     */
    private long activeLoads(PoolName pool) {
        return loadingRows(pool).count();
    }

    /**
     * Returns the engines of a pool that are loading or about to load.
     *
     * @param pool The pool.
     * @return Their rows.
     */
    private Stream<EngineOrderRow> loadingRows(PoolName pool) {
        return rows.view().stream()
                .filter(EngineOrderRow::mayLoad)
                .filter(row -> row.engine().pool().equals(pool));
    }

    /**
     * Determines the version to which an engine has to be updated.
     *
     * @param engine The engine.
     * @param assignment The assignment of models to engines.
     * @return The target, or empty if the engine is up to date.
     */
    private Optional<Target> findTarget(RegisteredEndpoint engine, EngineAssignment assignment) {
        return assignment.modelOf(engine.name()).flatMap(model -> {
            long newestVersion = versions.newestVersions().getOrDefault(model, 0L);
            long lag = newestVersion - engine.version(model).orElse(0);
            return lag > 0 ? Optional.of(new Target(engine, model, newestVersion, lag)) : Optional.empty();
        });
    }

    /**
     * Requests the report of an engine before it is ordered to load a version. The load is announced already here, so
     * that the notices arrive before the order, which follows the report.
     *
     * @param tick The tick.
     * @param target The engine and the version.
     */
    private void requestReport(Tick tick, Target target) {
        EngineOrderRow row = new EngineOrderRow(
                target.engine(),
                target.model(),
                target.version(),
                EngineOrderRow.Stage.READING,
                tick.now().plus(REPORT_TIMEOUT),
                tick.now().plus(UPDATE_TIMEOUT));
        rows.put(target.engine().name(), row);
        announce(tick, row);
        tick.emit(new OrderEffect.ReadReport(target.engine()));
    }

    /**
     * Performs the next step of an update, if it is due.
     *
     * @param tick The tick.
     * @param row The engine's row.
     */
    private void advance(Tick tick, EngineOrderRow row) {
        EndpointName name = row.engine().name();
        Optional<RegisteredEndpoint> current = registry.find(name);
        boolean loaded = current.filter(engine -> engine.servesAtLeast(row.model(), row.version()))
                .isPresent();
        if (current.isEmpty() || loaded || !tick.now().isBefore(row.timeoutAt())) {
            rows.remove(name);
            return;
        }
        if (tick.now().isBefore(row.dueAt())) {
            return;
        }
        EngineOrderRow.Stage next = row.mayLoad() ? EngineOrderRow.Stage.READING : EngineOrderRow.Stage.PROBING;
        rows.put(name, row.withStage(next, tick.now(), REPORT_TIMEOUT));
        tick.emit(new OrderEffect.ReadReport(row.engine()));
    }

    /**
     * Handles a report: completes the update if the version is loaded, otherwise orders the engine to load it.
     *
     * @param tick The tick.
     * @param read The report.
     */
    private void handleReport(Tick tick, OrderEvent.ReportRead read) {
        Optional<EngineReport> received = read.report();
        if (received.isPresent() && isFromOtherIncarnation(tick, read.engine(), received.get())) {
            return;
        }
        received.ifPresent(report -> report.versions()
                .forEach((model, version) -> registry.recordVersion(tick, read.engine(), model, version)));
        Optional<EngineOrderRow> row = rows.find(read.engine()).filter(EngineOrderRow::awaitsReport);
        if (row.isEmpty()) {
            return;
        }
        if (received.isEmpty()) {
            rows.put(read.engine(), row.get().withStage(EngineOrderRow.Stage.UNREACHABLE, tick.now(), FAILURE_DELAY));
            return;
        }
        EngineReport report = received.get();
        PoolName pool = read.engine().pool();
        boolean loaded = report.versions().getOrDefault(row.get().model(), 0L)
                >= row.get().version();
        boolean mustWait = !row.get().mayLoad() && !mayBegin(pool, row.get().model());
        if (loaded || mustWait) {
            rows.remove(read.engine());
            return;
        }
        if (report.busy()) {
            rows.put(read.engine(), row.get().withStage(EngineOrderRow.Stage.WAITING, tick.now(), REPORT_INTERVAL));
            Duration age = versions.age(row.get().model(), tick.now());
            announcements.ifPresent(found -> found.renew(tick, row.get(), age, NOTICE_EXTENSION));
            return;
        }
        order(tick, row.get(), report.sequence());
    }

    /**
     * Returns whether a report comes from another incarnation of the engine than the requested one. The loaded versions
     * and the number of accepted orders are reset with each start, so the contents of such a report are ignored.
     *
     * @param tick The tick.
     * @param engine The incarnation from which the report was requested.
     * @param report The report.
     * @return {@code true} if it comes from another incarnation.
     */
    private boolean isFromOtherIncarnation(Tick tick, EndpointName engine, EngineReport report) {
        EndpointName reporting = engine.withIncarnation(report.incarnation());
        if (engine.isBefore(reporting)) {
            registry.recordIncarnation(tick, engine, report.incarnation());
            rows.remove(engine);
            return true;
        }
        return reporting.isBefore(engine);
    }

    /**
     * Orders an engine to load a version, if this node is permitted to.
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
        boolean retainsRuns = routes.active()
                .filter(configuration ->
                        !configuration.requiresSingleVersion(row.engine().pool()))
                .isPresent();
        rows.put(row.engine().name(), row.withStage(EngineOrderRow.Stage.ORDERING, tick.now(), ORDER_TIMEOUT));
        announce(tick, row);
        lease.recordAction();
        tick.emit(new OrderEffect.LoadVersion(
                row.engine(),
                row.model(),
                row.version(),
                retainsRuns,
                lease.holderName(),
                fence.getAsLong(),
                sequence));
        tick.decide(Decision.of(
                "order",
                row.engine().name().value(),
                row.model() + " version " + row.version(),
                "fence " + fence.getAsLong() + " expected sequence " + sequence));
    }

    /**
     * Handles the answer to an order. The late answer to an order for another version is ignored.
     *
     * @param tick The tick.
     * @param ordered The answer.
     */
    private void handleAnswer(Tick tick, OrderEvent.Ordered ordered) {
        lease.recordAction();
        Optional<EngineOrderRow> row = rows.find(ordered.engine()).filter(found -> found.isAnsweredBy(ordered));
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
            case STARTED ->
                rows.put(name, row.get().withStage(EngineOrderRow.Stage.LOADING, tick.now(), MINIMUM_LOADING_TIME));
            case HOLDS -> {
                registry.recordVersion(tick, name, row.get().model(), row.get().version());
                rows.remove(name);
            }
            case CONFLICT ->
                rows.put(name, row.get().withStage(EngineOrderRow.Stage.WAITING, tick.now(), REPORT_INTERVAL));
            case UNANSWERED ->
                rows.put(name, row.get().withStage(EngineOrderRow.Stage.WAITING, tick.now(), UNANSWERED_DELAY));
            case REJECTED, GONE -> {
                rows.put(name, row.get().withStage(EngineOrderRow.Stage.WAITING, tick.now(), FAILURE_DELAY));
                announcements.ifPresent(found -> found.endWhere(tick, name::equals));
            }
        }
    }

    /**
     * Announces the load of an engine to the nodes that run jobs, if loads are coordinated with the demand.
     *
     * @param tick The tick.
     * @param row The engine's row.
     */
    private void announce(Tick tick, EngineOrderRow row) {
        Duration age = versions.age(row.model(), tick.now());
        announcements.ifPresent(found -> found.announce(tick, row, age, LoadAnnouncements.LOAD_DURATION));
    }

    /**
     * A lagging engine.
     *
     * @param engine The engine.
     * @param model The model.
     * @param version The version to load.
     * @param lag The number of versions by which the engine lags.
     */
    private record Target(RegisteredEndpoint engine, String model, long version, long lag) {}
}
