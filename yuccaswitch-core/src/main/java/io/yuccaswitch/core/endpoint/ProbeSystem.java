package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.RoutingSettings;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.routing.EndpointSubset;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Asks endpoints for their load: the ones that this node routes to at the configured interval, and those that it has
 * found to be down at a growing one, such that they are found again. It runs after {@link EndpointSystem}.
 */
public final class ProbeSystem implements DecisionSystem {

    /** The longest interval at which an endpoint that is down is asked. */
    private static final Duration LONGEST_INTERVAL = Duration.ofSeconds(5);

    /** The number of load reports for one reading of cache events. */
    private static final int REPORTS_PER_CACHE_READING = 4;

    /** The share of an interval by which probes are spread, so that nodes don't ask in step. */
    private static final double JITTER = 0.2;

    /** The name of this node. */
    private final NodeName node;

    /** The availability zone of this node. */
    private final AvailabilityZone availabilityZone;

    /** The table of endpoints. */
    private final EndpointTable table;

    /** The configuration in force, or empty before the first one. */
    private Optional<FleetConfiguration> configuration = Optional.empty();

    /** The version of the table from which the probed endpoints were picked. */
    private long pickedVersion = -1;

    /** The endpoints that are probed. */
    private Set<EndpointName> picked = Set.of();

    /**
     * Creates a new system.
     *
     * @param node The name of this node.
     * @param availabilityZone The availability zone of this node.
     * @param table The table of endpoints.
     */
    public ProbeSystem(NodeName node, AvailabilityZone availabilityZone, EndpointTable table) {
        this.node = node;
        this.availabilityZone = availabilityZone;
        this.table = table;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (ConfigurationEvent.InForce event : tick.events(ConfigurationEvent.InForce.class)) {
            configuration = Optional.of(event.configuration());
            pickedVersion = -1;
        }
        if (configuration.isEmpty()) {
            return;
        }
        if (pickedVersion != table.version()) {
            picked = pick(configuration.get());
            pickedVersion = table.version();
        }
        for (EndpointName name : picked) {
            table.find(name).ifPresent(endpoint -> probe(tick, endpoint, settings(name.pool())));
        }
    }

    /**
     * Picks the endpoints to probe: those that requests go to, those that they would go to if all were live, and all
     * that this node has found to be down.
     *
     * @param from The configuration.
     * @return The names of the endpoints.
     */
    private Set<EndpointName> pick(FleetConfiguration from) {
        Set<EndpointName> names = new LinkedHashSet<>();
        for (PoolName pool : table.poolNames()) {
            PoolSettings settings = from.pools().get(pool);
            int size = settings == null ? 0 : settings.routing().subsetSize();
            EndpointSubset.pick(node, availabilityZone, table.candidates(pool), size)
                    .forEach(endpoint -> names.add(endpoint.name()));
            EndpointSubset.pick(node, availabilityZone, table.pool(pool), size)
                    .forEach(endpoint -> names.add(endpoint.name()));
        }
        for (Endpoint endpoint : table.view()) {
            if (endpoint.condition() == EndpointCondition.DOWN) {
                names.add(endpoint.name());
            }
        }
        return names;
    }

    /**
     * Asks an endpoint if that is due.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     * @param settings The settings of its pool.
     */
    private void probe(Tick tick, Endpoint endpoint, RoutingSettings settings) {
        ProbeState state = table.probe(endpoint.name());
        if (!state.due(tick.now())) {
            return;
        }
        tick.emit(new EndpointEffect.Probe(endpoint.name(), endpoint.address()));
        Duration interval = interval(state, settings.loadReportInterval());
        ProbeState sent = state.withSent(tick.now(), tick.now().plus(jittered(tick, interval)));
        table.putProbe(endpoint.name(), readsCache(tick, endpoint, settings, sent));
    }

    /**
     * Reads the cache events of an endpoint if that is due.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     * @param settings The settings of its pool.
     * @param state Where the probing stands.
     * @return The changed state.
     */
    private static ProbeState readsCache(Tick tick, Endpoint endpoint, RoutingSettings settings, ProbeState state) {
        boolean wanted = endpoint.kind() == PoolKind.ENGINE
                && endpoint.condition() == EndpointCondition.LIVE
                && settings.prefixAffinity() > 0;
        if (!wanted || tick.now().isBefore(state.cacheDueAt())) {
            return state;
        }
        tick.emit(new EndpointEffect.ReadCacheEvents(endpoint.name(), endpoint.address()));
        return state.withCacheDueAt(
                tick.now().plus(settings.loadReportInterval().multipliedBy(REPORTS_PER_CACHE_READING)));
    }

    /**
     * Computes the time until the next probe.
     *
     * @param state Where the probing stands.
     * @param ordinary The configured interval.
     * @return The interval, which doubles with each failure of an endpoint that is down.
     */
    private static Duration interval(ProbeState state, Duration ordinary) {
        if (!state.down()) {
            return ordinary;
        }
        Duration longest = LONGEST_INTERVAL.compareTo(ordinary) > 0 ? LONGEST_INTERVAL : ordinary;
        Duration interval = ordinary;
        for (int failures = ProbeState.DOWN_AFTER; failures <= state.failures(); failures++) {
            interval = interval.multipliedBy(2);
            if (interval.compareTo(longest) >= 0) {
                return longest;
            }
        }
        return interval;
    }

    /**
     * Spreads an interval.
     *
     * @param tick The tick.
     * @param interval The interval.
     * @return The interval, shortened by a random part.
     */
    private static Duration jittered(Tick tick, Duration interval) {
        double share = 1 - JITTER * tick.random().nextDouble();
        return Duration.ofNanos((long) (interval.toNanos() * share));
    }

    /**
     * Returns how requests of a pool are routed.
     *
     * @param pool The pool.
     * @return The settings.
     */
    private RoutingSettings settings(PoolName pool) {
        return configuration.orElseThrow().pools().get(pool).routing();
    }
}
