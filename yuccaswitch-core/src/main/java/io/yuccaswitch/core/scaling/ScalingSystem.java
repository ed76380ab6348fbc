package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.duty.DutyOutcome;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ToIntFunction;

/**
 * Orders endpoints from the cloud, at the node that holds the duties. An order states the total number of endpoints,
 * not a difference, so a lost or repeated order does no harm.
 */
public final class ScalingSystem implements DecisionSystem {

    /**
     * How long a demand is retained. Trainers take turns to send requests, and endpoints released between two steps
     * would have to start and load weights again for the next step.
     */
    private static final Duration DEMAND_RETENTION = Duration.ofMinutes(2);

    /**
     * The share of the ordered number that the desired number must fall below before fewer endpoints are ordered. This
     * hysteresis prevents alternating orders when the demand is near a threshold.
     */
    private static final double SCALE_DOWN_SHARE = 0.75;

    /**
     * How long a new holder observes the site before its first order. While a site starts, endpoints register one after
     * the other, and an order for those registered so far would remove the others.
     */
    private static final Duration SETTLING_DELAY = Duration.ofSeconds(5);

    /** The delay before an order that did not take effect is repeated. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** The delay before an order that the cloud lacked the capacity for is repeated. */
    private static final Duration EXHAUSTED_RETRY_DELAY = Duration.ofSeconds(5);

    /** The margin, in addition to the start time of an endpoint, after which an order is repeated. */
    private static final Duration ORDER_MARGIN = Duration.ofSeconds(6);

    /** The lease of the node that holds the duties. */
    private final DutyLease lease;

    /** The registry of endpoints. */
    private final EndpointRegistrySystem registry;

    /** The configuration of routes. */
    private final RouteConfigurationSystem routes;

    /** Returns the number of requests that would currently run at a pool if it had enough slots. */
    private final ToIntFunction<PoolName> demand;

    /** The recent peak demand of each pool. */
    private final Map<PoolName, RecentPeak> peaks = new HashMap<>();

    /** Since when this node has both held the lease and known the endpoints, or empty if it does not. */
    private Optional<MonotonicTime> settlingSince = Optional.empty();

    /** The orders by pool and availability zone. */
    private final EntityTable<PoolZone, ScalingRow> rows = new EntityTable<>();

    /**
     * Creates a system that has ordered nothing.
     *
     * @param lease The lease of the node that holds the duties.
     * @param registry The registry of endpoints.
     * @param routes The configuration of routes.
     * @param demand Returns the number of requests that would currently run at a pool if it had enough slots.
     */
    public ScalingSystem(
            DutyLease lease,
            EndpointRegistrySystem registry,
            RouteConfigurationSystem routes,
            ToIntFunction<PoolName> demand) {
        this.lease = lease;
        this.registry = registry;
        this.routes = routes;
        this.demand = demand;
    }

    @Override
    public void run(Tick tick) {
        tick.events(ScalingEvent.Ordered.class).forEach(ordered -> handleOutcome(tick, ordered));
        if (!lease.isHeld()) {
            rows.removeIf(_row -> true);
            peaks.clear();
            settlingSince = Optional.empty();
            return;
        }
        if (lease.permission().isEmpty() || !registry.isListed() || registry.isUncertain()) {
            return;
        }
        MonotonicTime since = settlingSince.orElseGet(tick::now);
        settlingSince = Optional.of(since);
        if (tick.now().since(since).compareTo(SETTLING_DELAY) < 0) {
            return;
        }
        routes.active()
                .ifPresent(
                        configuration -> configuration.scaling().forEach((pool, terms) -> evaluate(tick, pool, terms)));
    }

    /**
     * Compares the endpoints of a pool with its demand.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param terms The terms of the pool.
     */
    private void evaluate(Tick tick, PoolName pool, ScalingTerms terms) {
        List<RegisteredEndpoint> endpoints = registry.working(pool);
        if (endpoints.isEmpty()) {
            return;
        }
        Map<AvailabilityZone, Integer> working = new HashMap<>();
        endpoints.forEach(endpoint -> working.merge(endpoint.availabilityZone(), 1, Integer::sum));
        int peak = peaks.computeIfAbsent(pool, _pool -> new RecentPeak(DEMAND_RETENTION))
                .add(demand.applyAsInt(pool), tick.now());
        ScalingPolicy.desired(terms, endpoints.get(0).slots(), peak)
                .forEach((zone, desired) ->
                        adjust(tick, new PoolZone(pool, zone), desired, working.getOrDefault(zone, 0), terms));
    }

    /**
     * Orders endpoints for a pool in an availability zone, if the desired number differs or endpoints are missing.
     *
     * @param tick The tick.
     * @param poolZone The pool and the availability zone.
     * @param desired The desired number of endpoints.
     * @param working The number of working endpoints.
     * @param terms The terms of the pool.
     */
    private void adjust(Tick tick, PoolZone poolZone, int desired, int working, ScalingTerms terms) {
        ScalingRow row =
                rows.find(poolZone).orElseGet(() -> new ScalingRow(Math.max(working, terms.minimum()), tick.now()));
        boolean scalesUp = desired > row.ordered();
        boolean scalesDown = hasFullDemandHistory(tick) && desired < row.ordered() * SCALE_DOWN_SHARE;
        int wanted = scalesUp || scalesDown ? desired : row.ordered();
        boolean endpointsMissing = working < wanted && !tick.now().isBefore(row.dueAt());
        boolean orderChanges = wanted != row.ordered();
        if (!orderChanges && !endpointsMissing) {
            rows.put(poolZone, row);
            return;
        }
        rows.put(
                poolZone,
                new ScalingRow(wanted, tick.now().plus(terms.startTime()).plus(ORDER_MARGIN)));
        order(tick, poolZone, wanted, working);
    }

    /**
     * Returns whether this node has observed the demand for the whole retention time. Until then it does not order
     * fewer endpoints, because a new holder does not know the demand just before its takeover.
     *
     * @param tick The tick.
     * @return {@code true} if it has observed the demand for the whole retention time.
     */
    private boolean hasFullDemandHistory(Tick tick) {
        return tick.now().since(settlingSince.orElseThrow()).compareTo(DEMAND_RETENTION) >= 0;
    }

    /**
     * Sends an order.
     *
     * @param tick The tick.
     * @param poolZone The pool and the availability zone.
     * @param wanted The number of endpoints to order.
     * @param working The number of working endpoints.
     */
    private void order(Tick tick, PoolZone poolZone, int wanted, int working) {
        OptionalLong fence = lease.permission();
        if (fence.isEmpty()) {
            return;
        }
        lease.recordAction();
        tick.emit(new ScalingEffect.Order(
                poolZone.pool(), poolZone.zone(), wanted, lease.holderName(), fence.getAsLong()));
        tick.decide(Decision.of(
                "scaling", poolZone.pool() + " " + poolZone.zone(), Integer.toString(wanted), "working " + working));
    }

    /**
     * Handles the outcome of an order. An order that did not take effect is repeated after a delay.
     *
     * @param tick The tick.
     * @param ordered The outcome.
     */
    private void handleOutcome(Tick tick, ScalingEvent.Ordered ordered) {
        lease.recordAction();
        PoolZone poolZone = new PoolZone(ordered.pool(), ordered.zone());
        tick.decide(Decision.of(
                "scaling-answer",
                poolZone.pool() + " " + poolZone.zone(),
                ordered.outcome().name(),
                "answer of the cloud"));
        if (ordered.outcome() == DutyOutcome.DONE) {
            return;
        }
        Duration delay = ordered.outcome() == DutyOutcome.EXHAUSTED ? EXHAUSTED_RETRY_DELAY : RETRY_DELAY;
        rows.find(poolZone)
                .ifPresent(row -> rows.put(
                        poolZone, new ScalingRow(row.ordered(), tick.now().plus(delay))));
    }

    /**
     * A pool in an availability zone.
     *
     * @param pool The pool.
     * @param zone The availability zone.
     */
    private record PoolZone(PoolName pool, AvailabilityZone zone) {}
}
