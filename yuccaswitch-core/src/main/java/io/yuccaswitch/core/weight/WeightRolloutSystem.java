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
 * Rolls out the newest versions to the engines of the pools whose leases this node holds. Orders are derived from the
 * versions that were read back from the engines, never from earlier orders, so that a lost, late or duplicated order is
 * corrected in the next pass.
 */
public final class WeightRolloutSystem implements DecisionSystem {

    /** The number of read-back intervals within which a version that an engine accepted must be read back. */
    private static final int CONFIRMATION_INTERVALS = 3;

    /** The number of order timeouts after which an order in flight without an answer is treated as failed. */
    private static final int IN_FLIGHT_ORDER_TIMEOUTS = 2;

    /** The kind of the decisions that this system makes. */
    private static final String DECISION_KIND = "weights";

    /** The shared tables. */
    private final WeightTables tables;

    /** The newest versions. */
    private final VersionView versions;

    /** The leases. */
    private final LeaseView leases;

    /** The progress of rollouts by pool and model. */
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
        tick.events(WeightEvent.OrderEnded.class).forEach(event -> handleOrderEnded(tick, event));
        for (PoolRow pool : tables.duePools()) {
            List<EngineRow> engines = tables.enginesOf(pool);
            engines.forEach(engine -> expireOrder(tick, pool, engine));
            sendDueOrders(tick, pool);
            reportCompleted(tick, pool);
        }
    }

    /**
     * Handles the end of an order.
     *
     * @param tick The tick.
     * @param event The end of the order.
     */
    private void handleOrderEnded(Tick tick, WeightEvent.OrderEnded event) {
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
                                probed.withOrder(Optional.of(
                                        order.withPhase(EngineOrder.Phase.ACCEPTED_UNCONFIRMED, tick.now())));
                            case UNKNOWN ->
                                probed.withOrder(
                                        Optional.of(order.withPhase(EngineOrder.Phase.ANSWER_MISSING, tick.now())));
                            case NOT_SENT -> probed.withOrder(Optional.empty());
                            case FAILED, FENCED -> probed.withFailure(order, false, backoff, tick.now());
                        });
        explain(tick, row.get(), order, event.result() + ": " + event.reason());
    }

    /**
     * Fails the order of an engine if it timed out.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param engine The engine.
     */
    private void expireOrder(Tick tick, PoolRow pool, EngineRow engine) {
        if (engine.order().isEmpty()) {
            return;
        }
        EngineOrder order = engine.order().get();
        Duration timeout = pool.plan().settings().orderTimeout();
        Duration limit =
                switch (order.phase()) {
                    case IN_FLIGHT -> timeout.multipliedBy(IN_FLIGHT_ORDER_TIMEOUTS);
                    case ANSWER_MISSING -> timeout;
                    case ACCEPTED_UNCONFIRMED ->
                        pool.plan().settings().readBackInterval().multipliedBy(CONFIRMATION_INTERVALS);
                };
        if (tick.now().since(order.since()).compareTo(limit) < 0) {
            return;
        }
        boolean denied = order.phase() == EngineOrder.Phase.ACCEPTED_UNCONFIRMED
                && engine.unreachableSince().isEmpty();
        Duration backoff = pool.plan().settings().retryBackoff();
        tables.engines().put(engine.name(), engine.withFailure(order, denied, backoff, tick.now()));
        String reason = denied
                ? "the engine accepted the order, but the read-back does not show the version: its version is unknown"
                : "no answer, and the read-back does not show the version";
        explain(tick, engine, order, reason);
    }

    /**
     * Sends the orders that are due in a pool, within its load budget.
     *
     * @param tick The tick.
     * @param pool The pool.
     */
    private void sendDueOrders(Tick tick, PoolRow pool) {
        if (pool.placement().isEmpty() || isWaitingForPreviousOrders(tick.now(), pool)) {
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
            if (budget.reserve(stale.engine(), stale.group()) && !sendOrder(tick, pool, stale)) {
                return;
            }
        }
    }

    /**
     * Returns whether orders of a previous holder may still reach engines that do not reject them by their fencing
     * numbers.
     *
     * @param now The current time.
     * @param pool The pool.
     * @return {@code true} if the engines ignore fencing numbers and the order timeout has not passed since this node
     *     became the holder.
     */
    private static boolean isWaitingForPreviousOrders(MonotonicTime now, PoolRow pool) {
        Duration held = now.since(pool.lease().since());
        return pool.plan().fencing() == FencingSupport.IGNORED
                && held.compareTo(pool.plan().settings().orderTimeout()) < 0;
    }

    /**
     * Sends an order if this node still holds the lease.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param stale The model to order.
     * @return {@code true} if the order was sent.
     */
    private boolean sendOrder(Tick tick, PoolRow pool, StaleModel stale) {
        Optional<HeldLease> held = leases.held(LeaseName.ofWeights(pool.name()), tick.now());
        if (held.isEmpty()) {
            return false;
        }
        EngineRow engine = stale.engine();
        PublishedVersion newest = stale.newest();
        long fencingNumber = held.get().fencingNumber();
        EngineOrder order = new EngineOrder(
                fencingNumber, stale.model(), newest.version(), EngineOrder.Phase.IN_FLIGHT, tick.now());
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
     * Records a decision about an order.
     *
     * @param tick The tick.
     * @param engine The engine.
     * @param order The order.
     * @param reason The reason, such as the outcome of the order.
     */
    private static void explain(Tick tick, EngineRow engine, EngineOrder order, String reason) {
        tick.decide(
                Decision.of(DECISION_KIND, engine.name().toString(), order.model() + '@' + order.version(), reason));
    }

    /**
     * Records the rollouts that completed.
     *
     * @param tick The tick.
     * @param pool The pool.
     */
    private void reportCompleted(Tick tick, PoolRow pool) {
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
     * The progress of the rollout of a model.
     *
     * @param version The version.
     * @param since The time at which the rollout of the version was first observed.
     * @param complete {@code true} if the completion of the rollout was recorded.
     */
    private record Progress(long version, MonotonicTime since, boolean complete) {}
}
