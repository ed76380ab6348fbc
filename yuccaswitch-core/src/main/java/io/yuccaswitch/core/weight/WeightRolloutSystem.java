package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.configuration.FencingSupport;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.lease.HeldLease;
import io.yuccaswitch.core.lease.LeaseName;
import io.yuccaswitch.core.lease.LeaseView;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Brings the engines of the pools whose leases this node holds to the newest versions. Orders follow from what the
 * engines were read back to hold, never from what was ordered before, so that a lost, late or doubled order is
 * corrected by the next look.
 */
public final class WeightRolloutSystem implements DecisionSystem {

    /** The number of read-back intervals in which an engine must show what it claims. */
    private static final int CLAIM_INTERVALS = 3;

    /** The number of order timeouts after which an order without any answer counts as lost. */
    private static final int FLIGHT_TIMEOUTS = 2;

    /** The kind of the decisions that this system makes. */
    private static final String DECISION = "weights";

    /** The shared tables. */
    private final WeightTables tables;

    /** The newest versions. */
    private final VersionView versions;

    /** The leases. */
    private final LeaseView leases;

    /** How far the rollouts of models are, by pool and model. */
    private final Map<String, Progress> progress = new HashMap<>();

    /**
     * Creates a new system.
     *
     * @param tables The shared tables.
     * @param versions The newest versions.
     * @param leases The leases.
     */
    public WeightRolloutSystem(WeightTables tables, VersionView versions, LeaseView leases) {
        this.tables = tables;
        this.versions = versions;
        this.leases = leases;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        tick.events(WeightEvent.OrderEnded.class).forEach(event -> end(tick, event));
        for (PoolRow pool : tables.duePools()) {
            List<EngineRow> engines = tables.enginesOf(pool);
            engines.forEach(engine -> expire(tick, pool, engine));
            order(tick, pool);
            report(tick, pool);
        }
    }

    /**
     * Takes in the end of an order.
     *
     * @param tick The tick.
     * @param event The end of the order.
     */
    private void end(Tick tick, WeightEvent.OrderEnded event) {
        Optional<EngineRow> row = tables.engines().find(event.endpoint()).filter(engine -> engine.order()
                .filter(order -> order.isEndedBy(event))
                .isPresent());
        Optional<PoolRow> pool = tables.pools().find(event.endpoint().pool());
        if (row.isEmpty() || pool.isEmpty()) {
            return;
        }
        EngineRow probed = row.get().withNextProbeAt(tick.now());
        EngineOrder order = row.get().order().orElseThrow();
        Duration backoff = pool.get().plan().settings().retryBackoff();
        tables.engines()
                .put(
                        event.endpoint(),
                        switch (event.result()) {
                            case ACCEPTED ->
                                probed.withOrder(Optional.of(order.withPhase(EngineOrder.Phase.CLAIMED, tick.now())));
                            case UNKNOWN ->
                                probed.withOrder(Optional.of(order.withPhase(EngineOrder.Phase.LOST, tick.now())));
                            case NOT_SENT -> probed.withOrder(Optional.empty());
                            case FAILED, FENCED -> probed.withFailure(order, false, backoff, tick.now());
                        });
        explain(tick, row.get(), order, event.result() + ": " + event.reason());
    }

    /**
     * Gives up on an order of an engine whose time has passed.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param engine The engine.
     */
    private void expire(Tick tick, PoolRow pool, EngineRow engine) {
        if (engine.order().isEmpty()) {
            return;
        }
        EngineOrder order = engine.order().get();
        Duration timeout = pool.plan().settings().orderTimeout();
        Duration limit =
                switch (order.phase()) {
                    case FLYING -> timeout.multipliedBy(FLIGHT_TIMEOUTS);
                    case LOST -> timeout;
                    case CLAIMED -> pool.plan().settings().readBackInterval().multipliedBy(CLAIM_INTERVALS);
                };
        if (tick.now().since(order.since()).compareTo(limit) < 0) {
            return;
        }
        boolean denied = order.phase() == EngineOrder.Phase.CLAIMED
                && engine.unreachableSince().isEmpty();
        Duration backoff = pool.plan().settings().retryBackoff();
        tables.engines().put(engine.name(), engine.withFailure(order, denied, backoff, tick.now()));
        String reason = denied
                ? "the engine claimed the version, but was not read back to hold it: its version is unknown"
                : "no answer, and the version was not read back";
        explain(tick, engine, order, reason);
    }

    /**
     * Gives the orders that are due in a pool.
     *
     * @param tick The tick.
     * @param pool The pool.
     */
    private void order(Tick tick, PoolRow pool) {
        if (pool.placement().isEmpty() || isWaitingForEarlierOrders(tick.now(), pool)) {
            return;
        }
        WaveBudget budget = WaveBudget.of(pool, tables.enginesOf(pool));
        if (budget.isExhausted()) {
            return;
        }
        for (StaleModel stale : StaleModel.find(pool, tables.enginesOf(pool), versions, tick.now())) {
            if (budget.isExhausted()) {
                return;
            }
            if (budget.take(stale.engine(), stale.group()) && !give(tick, pool, stale)) {
                return;
            }
        }
    }

    /**
     * Returns whether orders of an earlier holder may still reach engines, which matters where the engines don't refuse
     * them by their fencing numbers.
     *
     * @param now The current time.
     * @param pool The pool.
     * @return {@code true} if the longest flight of an order has not passed since this node became the holder.
     */
    private static boolean isWaitingForEarlierOrders(MonotonicTime now, PoolRow pool) {
        Duration held = now.since(pool.lease().since());
        return pool.plan().fencing() == FencingSupport.IGNORED
                && held.compareTo(pool.plan().settings().orderTimeout()) < 0;
    }

    /**
     * Gives an order, if this node still holds the lease.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param stale What to order.
     * @return {@code true} if the order was given.
     */
    private boolean give(Tick tick, PoolRow pool, StaleModel stale) {
        Optional<HeldLease> held = leases.held(LeaseName.ofWeights(pool.name()), tick.now());
        if (held.isEmpty()) {
            return false;
        }
        EngineRow engine = stale.engine();
        PublishedVersion newest = stale.newest();
        long fencingNumber = held.get().fencingNumber();
        EngineOrder order =
                new EngineOrder(fencingNumber, stale.model(), newest.version(), EngineOrder.Phase.FLYING, tick.now());
        tick.emit(new WeightEffect.Order(
                engine.name(),
                engine.address(),
                fencingNumber,
                stale.model(),
                newest.version(),
                newest.location(),
                held.get().validUntil()));
        tables.engines().put(engine.name(), engine.withOrder(Optional.of(order)));
        String before = engine.loaded(stale.model())
                .map(version -> "version " + version)
                .orElse("no version");
        explain(tick, engine, order, "ordered under fencing number " + fencingNumber + ", holds " + before);
        return true;
    }

    /**
     * Explains what became of an order.
     *
     * @param tick The tick.
     * @param engine The engine.
     * @param order The order.
     * @param reason What became of it.
     */
    private static void explain(Tick tick, EngineRow engine, EngineOrder order, String reason) {
        tick.decide(Decision.of(DECISION, engine.name().toString(), order.model() + '@' + order.version(), reason));
    }

    /**
     * Explains rollouts that ended.
     *
     * @param tick The tick.
     * @param pool The pool.
     */
    private void report(Tick tick, PoolRow pool) {
        for (ModelRollout rollout : ModelRollout.of(pool, tables.enginesOf(pool), versions)) {
            String key = pool.name() + "/" + rollout.model();
            Progress before = progress.get(key);
            if (before == null || before.version() != rollout.version()) {
                before = new Progress(rollout.version(), tick.now(), false);
            }
            boolean complete = rollout.engines() > 0 && rollout.current() == rollout.engines();
            if (complete && !before.complete()) {
                long millis = tick.now().since(before.since()).toMillis();
                String reason = rollout.current() + " engines read back after " + millis + " ms";
                tick.decide(Decision.of("rollout", key, Long.toString(rollout.version()), reason));
            }
            progress.put(key, new Progress(before.version(), before.since(), before.complete() || complete));
        }
    }

    /**
     * How far the rollout of a model is.
     *
     * @param version The version.
     * @param since The time at which the version was first seen.
     * @param complete {@code true} if the end of the rollout was explained.
     */
    private record Progress(long version, MonotonicTime since, boolean complete) {}
}
