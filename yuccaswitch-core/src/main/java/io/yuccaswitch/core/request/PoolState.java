package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.limit.FairQueue;
import io.yuccaswitch.core.limit.ServiceTimes;
import io.yuccaswitch.core.retry.HedgingPolicy;
import io.yuccaswitch.core.retry.RetryBudget;
import io.yuccaswitch.core.routing.RoutingPolicy;

/** The state of a pool at this node. */
final class PoolState {

    /** The name of the pool. */
    final PoolName name;

    /** The queued requests. */
    final FairQueue<RequestId> queue = new FairQueue<>();

    /** The settings of the pool. */
    PoolSettings settings;

    /** The policy that chooses endpoints. */
    RoutingPolicy routing;

    /** The policy that decides when a hedged attempt is due. */
    HedgingPolicy hedging;

    /** The budget for retries and hedged attempts. */
    RetryBudget budget = new RetryBudget();

    /** The service times of the pool's recent requests. */
    ServiceTimes times = ServiceTimes.EMPTY;

    /**
     * Creates the state of a pool.
     *
     * @param name The name of the pool.
     * @param settings The settings of the pool.
     */
    PoolState(PoolName name, PoolSettings settings) {
        this.name = name;
        this.settings = settings;
        routing = RoutingPolicy.of(settings.routing());
        hedging = HedgingPolicy.of(settings.retry());
    }

    /**
     * Applies changed settings.
     *
     * @param changed The settings of the pool.
     */
    void configure(PoolSettings changed) {
        if (!changed.routing().equals(settings.routing())) {
            routing = RoutingPolicy.of(changed.routing());
        }
        hedging = HedgingPolicy.of(changed.retry());
        settings = changed;
    }
}
