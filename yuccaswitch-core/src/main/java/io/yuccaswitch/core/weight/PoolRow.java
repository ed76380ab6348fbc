package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.configuration.EndpointSettings;
import io.yuccaswitch.core.configuration.FencingSupport;
import io.yuccaswitch.core.configuration.WeightSettings;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.lease.HeldLease;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * A row of the table of pools whose weights this node rolls out, because it holds their leases.
 *
 * @param name The pool.
 * @param plan The weight plan from the configuration.
 * @param lease The lease under which this node acts.
 * @param placement The groups of models that each engine is to hold, by their bases; empty until the first placement.
 */
record PoolRow(PoolName name, Plan plan, HeldLease lease, Map<EndpointName, List<String>> placement) {

    /**
     * Returns this row under a changed configuration.
     *
     * @param changed The weight plan from the configuration.
     * @return The changed row.
     */
    PoolRow withPlan(Plan changed) {
        return new PoolRow(name, changed, lease, placement);
    }

    /**
     * Returns this row under a changed lease.
     *
     * @param changed The lease.
     * @return The changed row.
     */
    PoolRow withLease(HeldLease changed) {
        return new PoolRow(name, plan, changed, placement);
    }

    /**
     * Returns this row with another placement.
     *
     * @param changed The groups of models that each engine is to hold.
     * @return The changed row.
     */
    PoolRow withPlacement(Map<EndpointName, List<String>> changed) {
        return new PoolRow(name, plan, lease, Map.copyOf(changed));
    }

    /**
     * The weight plan of a pool, which is derived from the configuration.
     *
     * @param settings The weight settings.
     * @param fencing Whether the engines reject orders with an old fencing number.
     * @param groups The groups of models that the engines hold.
     * @param engines The engines of the pool.
     * @param concurrentLoads The maximum number of engines of the pool that load concurrently.
     */
    record Plan(
            WeightSettings settings,
            FencingSupport fencing,
            List<ModelGroup> groups,
            SortedMap<EndpointName, EndpointSettings> engines,
            int concurrentLoads) {}
}
