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
 * Orders endpoints from the cloud, at the node that has the duties. Orders say how many there should be, not how many
 * more, so one that was lost or carried out twice does no harm.
 */
public final class ScalingSystem implements DecisionSystem {

    /**
     * For how long a demand counts after it was there. Trainers ask in turn, and endpoints that were given back between
     * two steps would have to start and load weights again for the next.
     */
    private static final Duration DEMAND_MEMORY = Duration.ofMinutes(2);

    /**
     * The share of the ordered number below which fewer are ordered, so that a demand at an edge orders nothing in
     * turn.
     */
    private static final double LOWERING_SHARE = 0.75;

    /**
     * How long a new holder looks before it orders anything. While a site starts, endpoints register one after the
     * other, and an order for those that are there so far would take the others away.
     */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(5);

    /** When an order that did not take effect is sent again. */
    private static final Duration RETRY_TIME = Duration.ofSeconds(1);

    /** When endpoints that are not to be had are asked for again. */
    private static final Duration EXHAUSTED_TIME = Duration.ofSeconds(5);

    /** How long an order may take beyond the start of an endpoint until it is sent again. */
    private static final Duration SLACK = Duration.ofSeconds(6);

    /** The lease of the node that has the duties. */
    private final DutyLease lease;

    /** The endpoints. */
    private final EndpointRegistrySystem registry;

    /** The configuration. */
    private final RouteConfigurationSystem routes;

    /** Returns the number of requests that would run now at a pool if there were places for all. */
    private final ToIntFunction<PoolName> demand;

    /** The demand of each pool lately. */
    private final Map<PoolName, RecentPeak> peaks = new HashMap<>();

    /** Since when this node has known the endpoints while it had the duty, if it does. */
    private Optional<MonotonicTime> settlingSince = Optional.empty();

    /** What was ordered. */
    private final EntityTable<Place, ScalingRow> rows = new EntityTable<>();

    /**
     * Creates a system that has ordered nothing.
     *
     * @param lease The lease of the node that has the duties.
     * @param registry The endpoints.
     * @param routes The configuration.
     * @param demand Returns the number of requests that would run now at a pool if there were places for all.
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
        tick.events(ScalingEvent.Ordered.class).forEach(ordered -> takeOutcome(tick, ordered));
        if (!lease.isHeld()) {
            rows.removeIf(_row -> true);
            peaks.clear();
            settlingSince = Optional.empty();
            return;
        }
        if (lease.permission().isEmpty() || !registry.isListed() || registry.isInDoubt()) {
            return;
        }
        MonotonicTime since = settlingSince.orElseGet(tick::now);
        settlingSince = Optional.of(since);
        if (tick.now().since(since).compareTo(SETTLING_TIME) < 0) {
            return;
        }
        routes.inForce()
                .ifPresent(configuration -> configuration.scaling().forEach((pool, terms) -> look(tick, pool, terms)));
    }

    /**
     * Looks whether a pool has the endpoints that it should have.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param terms What the cloud offers.
     */
    private void look(Tick tick, PoolName pool, ScalingTerms terms) {
        List<RegisteredEndpoint> endpoints = registry.working(pool);
        if (endpoints.isEmpty()) {
            return;
        }
        Map<AvailabilityZone, Integer> working = new HashMap<>();
        endpoints.forEach(endpoint -> working.merge(endpoint.availabilityZone(), 1, Integer::sum));
        int peak = peaks.computeIfAbsent(pool, _pool -> new RecentPeak(DEMAND_MEMORY))
                .take(demand.applyAsInt(pool), tick.now());
        ScalingPolicy.desired(terms, endpoints.get(0).slots(), peak)
                .forEach((zone, desired) ->
                        compare(tick, new Place(pool, zone), desired, working.getOrDefault(zone, 0), terms));
    }

    /**
     * Orders endpoints for a pool in an availability zone, if those that are there are not those that should be.
     *
     * @param tick The tick.
     * @param place The pool and the availability zone.
     * @param desired The number that there should be.
     * @param working The number that work.
     * @param terms What the cloud offers.
     */
    private void compare(Tick tick, Place place, int desired, int working, ScalingTerms terms) {
        ScalingRow row =
                rows.find(place).orElseGet(() -> new ScalingRow(Math.max(working, terms.minimum()), tick.now()));
        boolean raises = desired > row.ordered();
        boolean lowers = knowsDemand(tick) && desired < row.ordered() * LOWERING_SHARE;
        int wanted = raises || lowers ? desired : row.ordered();
        boolean lacks = working < wanted && !tick.now().isBefore(row.dueAt());
        boolean changes = wanted != row.ordered();
        if (!changes && !lacks) {
            rows.put(place, row);
            return;
        }
        rows.put(
                place, new ScalingRow(wanted, tick.now().plus(terms.startTime()).plus(SLACK)));
        order(tick, place, wanted, working);
    }

    /**
     * Returns whether this node has seen the demand for as long as it counts. Until then fewer endpoints are not
     * ordered: a new holder does not know what was asked for just before.
     *
     * @param tick The tick.
     * @return {@code true} if it has.
     */
    private boolean knowsDemand(Tick tick) {
        return tick.now().since(settlingSince.orElseThrow()).compareTo(DEMAND_MEMORY) >= 0;
    }

    /**
     * Sends an order.
     *
     * @param tick The tick.
     * @param place The pool and the availability zone.
     * @param wanted The number that there should be.
     * @param working The number that work.
     */
    private void order(Tick tick, Place place, int wanted, int working) {
        OptionalLong fence = lease.permission();
        if (fence.isEmpty()) {
            return;
        }
        lease.recordAction();
        tick.emit(new ScalingEffect.Order(place.pool(), place.zone(), wanted, lease.holderName(), fence.getAsLong()));
        tick.decide(Decision.of(
                "scaling", place.pool() + " " + place.zone(), Integer.toString(wanted), "working " + working));
    }

    /**
     * Takes what became of an order. One that did not take effect is sent again a short time later.
     *
     * @param tick The tick.
     * @param ordered What became of it.
     */
    private void takeOutcome(Tick tick, ScalingEvent.Ordered ordered) {
        lease.recordAction();
        Place place = new Place(ordered.pool(), ordered.zone());
        tick.decide(Decision.of(
                "scaling-answer",
                place.pool() + " " + place.zone(),
                ordered.outcome().name(),
                "answer of the cloud"));
        if (ordered.outcome() == DutyOutcome.DONE) {
            return;
        }
        Duration pause = ordered.outcome() == DutyOutcome.EXHAUSTED ? EXHAUSTED_TIME : RETRY_TIME;
        rows.find(place)
                .ifPresent(row ->
                        rows.put(place, new ScalingRow(row.ordered(), tick.now().plus(pause))));
    }

    /**
     * A pool in an availability zone.
     *
     * @param pool The pool.
     * @param zone The availability zone.
     */
    private record Place(PoolName pool, AvailabilityZone zone) {}
}
