package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.CallerSettings;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.endpoint.EndpointView;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.limit.ConcurrencyLimit;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.quarantine.Quarantine;
import io.yuccaswitch.core.quarantine.QuarantineCheck;
import io.yuccaswitch.core.routing.EndpointLoad;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** The tables that the systems of the request path share. */
final class RequestTables {

    /** The members. */
    final MembershipView membership;

    /** The endpoints. */
    final EndpointView endpoints;

    /** The clock that counts the windows of ids. */
    final RequestClock clock;

    /** The factory for the limit of an endpoint that was not used yet. */
    final Function<PoolSettings, ConcurrencyLimit> limits;

    /** Checks requests against the quarantine of requests that made endpoints terminate. */
    final QuarantineCheck quarantine;

    /** The requests in progress. */
    final EntityTable<RequestId, RequestRow> requests = new EntityTable<>();

    /** The attempts in progress. */
    final EntityTable<Integer, Attempt> attempts = new EntityTable<>();

    /** The load states of endpoints, observed from this node's own requests. */
    final EntityTable<EndpointName, EndpointLoad> loads = new EntityTable<>();

    /** The requests whose outcome is being searched for. */
    final EntityTable<RequestId, Resolution> resolutions = new EntityTable<>();

    /** The states of the pools. */
    final Map<PoolName, PoolState> pools = new HashMap<>();

    /** The ids that were sent. */
    final ConcludedIds concluded = new ConcludedIds();

    /** The outcomes that are retained to answer repeated requests, this node's own and those of peers. */
    final RetainedOutcomes retained = new RetainedOutcomes();

    /** The refusals of requests that peers forwarded. */
    final RefusedArrivals refused = new RefusedArrivals();

    /** The active configuration, or empty before the first one. */
    Optional<FleetConfiguration> configuration = Optional.empty();

    /** The number of the latest attempt. */
    private int latestAttempt;

    /**
     * Creates new tables.
     *
     * @param membership The members.
     * @param endpoints The endpoints.
     * @param clock The clock that counts the windows of ids.
     * @param quarantine The quarantine of requests that made endpoints terminate.
     * @param limits The factory for the limit of an endpoint that was not used yet.
     */
    RequestTables(
            MembershipView membership,
            EndpointView endpoints,
            RequestClock clock,
            Quarantine quarantine,
            Function<PoolSettings, ConcurrencyLimit> limits) {
        this.quarantine = new QuarantineCheck(quarantine);
        this.limits = limits;
        this.membership = membership;
        this.endpoints = endpoints;
        this.clock = clock;
    }

    /**
     * Applies a configuration.
     *
     * @param changed The new configuration.
     */
    void configure(FleetConfiguration changed) {
        configuration = Optional.of(changed);
        for (Map.Entry<PoolName, PoolSettings> entry : changed.pools().entrySet()) {
            PoolState existing = pools.get(entry.getKey());
            if (existing == null) {
                pools.put(entry.getKey(), new PoolState(entry.getKey(), entry.getValue()));
            } else {
                existing.configure(entry.getValue());
            }
        }
    }

    /**
     * Returns the identity of this node.
     *
     * @return The name and incarnation of this node.
     */
    NodeIdentity self() {
        return membership.self().identity();
    }

    /**
     * Finds a configured pool.
     *
     * @param pool The name of the pool.
     * @return The pool, or empty if it is not configured.
     */
    Optional<PoolState> pool(PoolName pool) {
        boolean configured =
                configuration.map(value -> value.pools().containsKey(pool)).orElse(false);
        return configured ? Optional.of(pools.get(pool)) : Optional.empty();
    }

    /**
     * Returns the load state of an endpoint.
     *
     * @param endpoint The endpoint's name.
     * @param pool The endpoint's pool.
     * @return The load state, which is that of an unused endpoint if none is recorded.
     */
    EndpointLoad load(EndpointName endpoint, PoolState pool) {
        return loads.find(endpoint).orElseGet(() -> EndpointLoad.unused(limits.apply(pool.settings)));
    }

    /**
     * Allocates the number of a new attempt.
     *
     * @return The number, from one.
     */
    int nextAttempt() {
        latestAttempt = latestAttempt == Integer.MAX_VALUE ? 1 : latestAttempt + 1;
        return latestAttempt;
    }

    /**
     * Returns the weight of a caller, which may be a trainer.
     *
     * @param caller The caller.
     * @return The weight, at least one.
     */
    int weight(CallerName caller) {
        return configuration
                .flatMap(value -> Optional.ofNullable(value.callers().get(caller))
                        .map(CallerSettings::weight)
                        .or(() -> Optional.ofNullable(value.trainers().get(new TrainerName(caller.value())))
                                .map(TrainerSettings::weight)))
                .orElse(1);
    }
}
