package io.yuccaswitch.core.weight;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The number of further engines of a pool that may load concurrently. Both the pool as a whole and each group of models
 * keep a share of their engines serving. Where this would allow no load at all, one load at a time is allowed, since
 * permanently stale weights are worse than the temporary loss of one engine.
 */
final class WaveBudget {

    /** The key under which the pool as a whole is counted, which is not a valid name of a model. */
    private static final String WHOLE_POOL = "";

    /** The numbers of engines of each group and of the whole pool. */
    private final Map<String, Count> counts = new HashMap<>();

    /** The minimum share of the engines that keep serving. */
    private final double servingFloor;

    /** The number of further engines that may start to load. */
    private int loadsLeft;

    /**
     * Creates a new budget.
     *
     * @param servingFloor The minimum share of the engines that keep serving.
     * @param loadsLeft The number of further engines that may start to load.
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
     * Returns whether no further engine may start to load.
     *
     * @return {@code true} if no further engine may start to load.
     */
    boolean isExhausted() {
        return loadsLeft <= 0;
    }

    /**
     * Reserves a load of an engine if the budget allows it.
     *
     * @param engine The engine.
     * @param group The base of the group whose model the engine is to load.
     * @return {@code true} if the engine may start to load.
     */
    boolean reserve(EngineRow engine, String group) {
        if (isExhausted()) {
            return false;
        }
        if (isServing(engine)) {
            Count pool = counts.get(WHOLE_POOL);
            Count ofGroup = counts.getOrDefault(group, new Count());
            if (!pool.allowsLoad(servingFloor) || !ofGroup.allowsLoad(servingFloor)) {
                return false;
            }
            pool.startLoading();
            ofGroup.startLoading();
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
     * Returns whether an engine is serving, so that a load reduces capacity.
     *
     * @param engine The engine.
     * @return {@code true} if the engine is usable, holds any model and is not loading.
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

        /** The number of engines that are serving. */
        private int serving;

        /** The number of engines that are loading. */
        private int loading;

        /**
         * Returns whether a serving engine may start to load.
         *
         * @param floor The minimum share of the engines that keep serving.
         * @return {@code true} if enough engines keep serving, or if none is loading.
         */
        private boolean allowsLoad(double floor) {
            return loading == 0 || serving - 1 >= Math.ceil(floor * engines);
        }

        /** Moves an engine from serving to loading. */
        private void startLoading() {
            serving--;
            loading++;
        }
    }
}
