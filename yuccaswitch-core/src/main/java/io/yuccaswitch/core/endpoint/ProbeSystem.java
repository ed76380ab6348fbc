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
 * Probes endpoints for their load. Endpoints that this node routes to are probed at the configured interval; endpoints
 * that are down are probed at an increasing interval to detect their recovery. This system runs after
 * {@link EndpointSystem}.
 */
public final class ProbeSystem implements DecisionSystem {

    /** The maximum interval between probes of an endpoint that is down. */
    private static final Duration MAXIMUM_DOWN_INTERVAL = Duration.ofSeconds(5);

    /** The number of load report intervals between two reads of cache events. */
    private static final int REPORT_INTERVALS_PER_CACHE_READ = 4;

    /** The maximum fraction by which an interval is randomly shortened, so that nodes don't probe in lockstep. */
    private static final double JITTER_FRACTION = 0.2;

    /** The name of this node. */
    private final NodeName node;

    /** The availability zone of this node. */
    private final AvailabilityZone availabilityZone;

    /** The table of endpoints. */
    private final EndpointTable table;

    /** The active configuration, or empty before the first one. */
    private Optional<FleetConfiguration> configuration = Optional.empty();

    /** The version of the table from which the probed endpoints were selected. */
    private long selectedVersion = -1;

    /** The endpoints to probe. */
    private Set<EndpointName> selected = Set.of();

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
        for (ConfigurationEvent.Activated event : tick.events(ConfigurationEvent.Activated.class)) {
            configuration = Optional.of(event.configuration());
            selectedVersion = -1;
        }
        if (configuration.isEmpty()) {
            return;
        }
        if (selectedVersion != table.version()) {
            selected = select(configuration.get());
            selectedVersion = table.version();
        }
        for (EndpointName name : selected) {
            table.find(name).ifPresent(endpoint -> probe(tick, endpoint, settings(name.pool())));
        }
    }

    /**
     * Selects the endpoints to probe: those that requests are routed to, those that would be used if all endpoints were
     * live, and all that are down.
     *
     * @param fleet The active configuration.
     * @return The names of the endpoints.
     */
    private Set<EndpointName> select(FleetConfiguration fleet) {
        Set<EndpointName> names = new LinkedHashSet<>();
        for (PoolName pool : table.poolNames()) {
            PoolSettings settings = fleet.pools().get(pool);
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
     * Probes an endpoint if a probe is due.
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
        table.putProbe(endpoint.name(), readCacheEvents(tick, endpoint, settings, sent));
    }

    /**
     * Reads the cache events of an endpoint if a read is due.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     * @param settings The settings of its pool.
     * @param state The state of the probes.
     * @return The changed state.
     */
    private static ProbeState readCacheEvents(
            Tick tick, Endpoint endpoint, RoutingSettings settings, ProbeState state) {
        boolean enabled = endpoint.kind() == PoolKind.ENGINE
                && endpoint.condition() == EndpointCondition.LIVE
                && settings.prefixAffinity() > 0;
        if (!enabled || tick.now().isBefore(state.cacheDueAt())) {
            return state;
        }
        tick.emit(new EndpointEffect.ReadCacheEvents(endpoint.name(), endpoint.address()));
        return state.withCacheDueAt(
                tick.now().plus(settings.loadReportInterval().multipliedBy(REPORT_INTERVALS_PER_CACHE_READ)));
    }

    /**
     * Computes the time until the next probe.
     *
     * @param state The state of the probes.
     * @param configured The configured interval.
     * @return The interval, which doubles with each failure of an endpoint that is down.
     */
    private static Duration interval(ProbeState state, Duration configured) {
        if (!state.down()) {
            return configured;
        }
        Duration maximum = MAXIMUM_DOWN_INTERVAL.compareTo(configured) > 0 ? MAXIMUM_DOWN_INTERVAL : configured;
        Duration interval = configured;
        for (int failures = ProbeState.DOWN_FAILURE_THRESHOLD; failures <= state.failures(); failures++) {
            interval = interval.multipliedBy(2);
            if (interval.compareTo(maximum) >= 0) {
                return maximum;
            }
        }
        return interval;
    }

    /**
     * Applies jitter to an interval.
     *
     * @param tick The tick.
     * @param interval The interval.
     * @return The interval, shortened by a random fraction of up to {@link #JITTER_FRACTION}.
     */
    private static Duration jittered(Tick tick, Duration interval) {
        double factor = 1 - JITTER_FRACTION * tick.random().nextDouble();
        return Duration.ofNanos((long) (interval.toNanos() * factor));
    }

    /**
     * Returns the routing settings of a pool.
     *
     * @param pool The pool.
     * @return The settings.
     */
    private RoutingSettings settings(PoolName pool) {
        return configuration.orElseThrow().pools().get(pool).routing();
    }
}
