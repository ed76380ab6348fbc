package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.identity.PoolName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The progress of the rollout of a model's newest version in a pool, as observed by the holder of the pool's lease.
 *
 * @param pool The pool.
 * @param model The model.
 * @param version The newest version.
 * @param engines The number of engines that are to hold the model, are reachable and are not leaving.
 * @param current The number of these that were read back to hold the newest version.
 * @param loading The number of these that may be loading.
 * @param failing The number of these on which the last order of the model failed.
 * @param uncertain The number of these whose version of the model is unknown.
 */
public record ModelRollout(
        PoolName pool, String model, long version, int engines, int current, int loading, int failing, int uncertain) {

    /**
     * Computes the rollouts of all pools whose leases this node holds.
     *
     * @param tables The shared tables.
     * @param versions The newest versions.
     * @return The rollouts.
     */
    public static List<ModelRollout> all(WeightTables tables, VersionView versions) {
        List<ModelRollout> rollouts = new ArrayList<>();
        for (PoolRow pool : tables.pools().view()) {
            rollouts.addAll(of(pool, tables.enginesOf(pool), versions));
        }
        return rollouts;
    }

    /**
     * Computes the rollouts of a pool.
     *
     * @param pool The pool.
     * @param engines The engines of the pool.
     * @param versions The newest versions.
     * @return The rollouts of the models that have a version.
     */
    static List<ModelRollout> of(PoolRow pool, List<EngineRow> engines, VersionView versions) {
        List<ModelRollout> rollouts = new ArrayList<>();
        for (ModelGroup group : pool.plan().groups()) {
            List<EngineRow> holding = engines.stream()
                    .filter(engine -> engine.unreachableSince().isEmpty() && !engine.leaving())
                    .filter(engine -> pool.placement()
                            .getOrDefault(engine.name(), List.of())
                            .contains(group.base()))
                    .toList();
            for (ModelGroup.Model model : group.models()) {
                Optional<PublishedVersion> newest = versions.newest(model.trainer());
                newest.ifPresent(present -> rollouts.add(count(pool, model.name(), present.version(), holding)));
            }
        }
        return rollouts;
    }

    /**
     * Counts the engines that hold a model.
     *
     * @param pool The pool.
     * @param model The model.
     * @param version The newest version.
     * @param holding The engines that are to hold the model.
     * @return The rollout.
     */
    private static ModelRollout count(PoolRow pool, String model, long version, List<EngineRow> holding) {
        int current = 0;
        int loading = 0;
        int failing = 0;
        int uncertain = 0;
        for (EngineRow engine : holding) {
            current += engine.loaded(model).filter(loaded -> loaded >= version).isPresent() ? 1 : 0;
            loading += engine.isLoading() ? 1 : 0;
            failing += engine.failures().containsKey(model) ? 1 : 0;
            uncertain += engine.isCertain(model) ? 0 : 1;
        }
        return new ModelRollout(pool.name(), model, version, holding.size(), current, loading, failing, uncertain);
    }
}
