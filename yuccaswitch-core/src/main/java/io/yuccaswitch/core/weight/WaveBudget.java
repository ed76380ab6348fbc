package io.yuccaswitch.core.weight;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How many more engines of a pool may load at the same time. Both the pool as a whole and each group of models keep a
 * share of their engines serving; where that would allow no load at all, one at a time is allowed, since weights that
 * never become fresh are worse than one engine less.
 */
final class WaveBudget {

    /** The key that the pool as a whole is counted under, which is no name of a model. */
    private static final String WHOLE_POOL = "";

    /** The numbers of engines of each group and of the whole pool. */
    private final Map<String, Count> counts = new HashMap<>();

    /** The share of the engines that keeps serving. */
    private final double servingFloor;

    /** The number of engines that may still begin to load. */
    private int loadsLeft;

    /**
     * Creates a new budget.
     *
     * @param servingFloor The share of the engines that keeps serving.
     * @param loadsLeft The number of engines that may still begin to load.
     */
    private WaveBudget(double servingFloor, int loadsLeft) {
        this.servingFloor = servingFloor;
        this.loadsLeft = loadsLeft;
    }

    /**
     * Computes the budget of a pool.
     *
     * @param pool The pool.
     * @param engines The engines of the pool.
     * @return The budget.
     */
    static WaveBudget of(PoolRow pool, List<EngineRow> engines) {
        int loading = (int) engines.stream().filter(EngineRow::isLoading).count();
        WaveBudget budget = new WaveBudget(
                pool.plan().settings().servingFloor(), pool.plan().concurrentLoads() - loading);
        for (EngineRow engine : engines) {
            if (engine.leaving()) {
                continue;
            }
            budget.count(WHOLE_POOL, engine);
            pool.placement().getOrDefault(engine.name(), List.of()).forEach(base -> budget.count(base, engine));
        }
        return budget;
    }

    /**
     * Returns whether no engine may begin to load.
     *
     * @return {@code true} if no engine may begin to load.
     */
    boolean isExhausted() {
        return loadsLeft <= 0;
    }

    /**
     * Takes an engine out for loading, if the budget allows it.
     *
     * @param engine The engine.
     * @param group The base of the group whose model the engine is to load.
     * @return {@code true} if the engine may begin to load.
     */
    boolean take(EngineRow engine, String group) {
        if (isExhausted()) {
            return false;
        }
        if (isServing(engine)) {
            Count pool = counts.get(WHOLE_POOL);
            Count ofGroup = counts.getOrDefault(group, new Count());
            if (!pool.allows(servingFloor) || !ofGroup.allows(servingFloor)) {
                return false;
            }
            pool.takeOut();
            ofGroup.takeOut();
        }
        loadsLeft--;
        return true;
    }

    /**
     * Counts an engine.
     *
     * @param key The base of a group, or the key of the whole pool.
     * @param engine The engine.
     */
    private void count(String key, EngineRow engine) {
        Count count = counts.computeIfAbsent(key, _key -> new Count());
        count.engines++;
        count.serving += isServing(engine) ? 1 : 0;
        count.loading += engine.isLoading() ? 1 : 0;
    }

    /**
     * Returns whether an engine serves, such that loading takes capacity away.
     *
     * @param engine The engine.
     * @return {@code true} if the engine can be reached, holds any model and is not loading.
     */
    private static boolean isServing(EngineRow engine) {
        boolean holdsAny = engine.reading()
                .filter(reading -> !reading.versions().isEmpty())
                .isPresent();
        return engine.isUsable() && holdsAny && !engine.isLoading();
    }

    /** The numbers of engines of a group. */
    private static final class Count {

        /** The number of engines. */
        private int engines;

        /** The number of engines that serve. */
        private int serving;

        /** The number of engines that are loading. */
        private int loading;

        /**
         * Returns whether one more engine may stop to serve.
         *
         * @param floor The share of the engines that keeps serving.
         * @return {@code true} if enough engines stay, or if none is loading.
         */
        private boolean allows(double floor) {
            return loading == 0 || serving - 1 >= Math.ceil(floor * engines);
        }

        /** Takes a serving engine out for loading. */
        private void takeOut() {
            serving--;
            loading++;
        }
    }
}
