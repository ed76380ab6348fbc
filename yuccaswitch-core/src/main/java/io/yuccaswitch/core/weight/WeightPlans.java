package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.configuration.EndpointSettings;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.WeightStoreSettings;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.lease.LeaseName;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Derives the weight plan of each pool from the configuration. */
public final class WeightPlans {

    /** The number of concurrent loads where no weight store is configured. */
    private static final int DEFAULT_CONCURRENT_LOADS = 4;

    /** This class has no instances. */
    private WeightPlans() {}

    /**
     * Returns the leases for the rollout of weights to the engines of pools.
     *
     * @param configuration The configuration.
     * @return A lease for each pool of engines that trainers use.
     */
    public static Set<LeaseName> leases(FleetConfiguration configuration) {
        return pools(configuration).keySet().stream().map(LeaseName::ofWeights).collect(Collectors.toSet());
    }

    /**
     * Derives the plans of all pools.
     *
     * @param configuration The configuration.
     * @return The plans of the pools of engines that trainers use.
     */
    static Map<PoolName, PoolRow.Plan> derive(FleetConfiguration configuration) {
        Map<PoolName, PoolSettings> pools = pools(configuration);
        int limit = configuration
                .weightStore()
                .map(WeightStoreSettings::concurrentLoads)
                .orElse(DEFAULT_CONCURRENT_LOADS);
        Map<PoolName, Integer> loads = divideLoads(pools, limit);
        Map<PoolName, PoolRow.Plan> plans = new TreeMap<>();
        pools.forEach((name, settings) -> plans.put(
                name,
                new PoolRow.Plan(
                        settings.weights(),
                        settings.fencing(),
                        groups(configuration, name),
                        engines(name, settings),
                        loads.get(name))));
        return plans;
    }

    /**
     * Returns the pools of engines that trainers use.
     *
     * @param configuration The configuration.
     * @return The pools, ordered by name.
     */
    private static Map<PoolName, PoolSettings> pools(FleetConfiguration configuration) {
        Map<PoolName, PoolSettings> pools = new TreeMap<>();
        configuration.trainers().values().forEach(trainer -> {
            PoolSettings settings = configuration.pools().get(trainer.pool());
            if (settings != null && settings.kind() == PoolKind.ENGINE) {
                pools.put(trainer.pool(), settings);
            }
        });
        return pools;
    }

    /**
     * Divides the concurrent loads of the fleet among pools in proportion to their engines. The division is fixed
     * because the holders of the pools' leases do not know each other's current loads. Each pool gets at least one.
     *
     * @param pools The pools.
     * @param limit The maximum number of concurrent loads of the fleet.
     * @return The maximum number of concurrent loads of each pool.
     */
    private static Map<PoolName, Integer> divideLoads(Map<PoolName, PoolSettings> pools, int limit) {
        Map<PoolName, Integer> loads = new TreeMap<>();
        pools.keySet().forEach(name -> loads.put(name, 1));
        for (int allocated = pools.size(); allocated < limit && !pools.isEmpty(); allocated++) {
            PoolName mostBelowShare = loads.keySet().stream()
                    .min(Comparator.comparingDouble(name -> (double) loads.get(name)
                            / Math.max(1, pools.get(name).endpoints().size())))
                    .orElseThrow();
            loads.merge(mostBelowShare, 1, Integer::sum);
        }
        return loads;
    }

    /**
     * Returns the groups of models that the engines of a pool hold.
     *
     * @param configuration The configuration.
     * @param pool The pool.
     * @return The groups.
     */
    private static List<ModelGroup> groups(FleetConfiguration configuration, PoolName pool) {
        List<ModelGroup.Model> models = new ArrayList<>();
        configuration.trainers().forEach((trainer, settings) -> {
            if (settings.pool().equals(pool)) {
                models.add(new ModelGroup.Model(trainer, settings.model(), settings.weight()));
            }
        });
        return ModelGroup.group(models);
    }

    /**
     * Returns the engines of a pool.
     *
     * @param pool The pool.
     * @param settings The pool's settings.
     * @return The engines with their settings.
     */
    private static SortedMap<EndpointName, EndpointSettings> engines(PoolName pool, PoolSettings settings) {
        SortedMap<EndpointName, EndpointSettings> engines = new TreeMap<>();
        settings.endpoints().forEach((name, engine) -> engines.put(new EndpointName(pool, name), engine));
        return Collections.unmodifiableSortedMap(engines);
    }
}
