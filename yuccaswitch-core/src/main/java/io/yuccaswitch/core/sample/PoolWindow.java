package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.identity.PoolName;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the generations that this node has in progress in a pool to its share of the pool's capacity, which is reduced
 * while the request path refuses work. Samples beyond the limit wait in this package, where the schedule orders them.
 */
final class PoolWindow {

    /** The factor by which a node may exceed its share of the capacity, as the groups are not distributed evenly. */
    private static final double OVERCOMMIT_FACTOR = 1.5;

    /** The factor by which a refusal reduces the window. */
    private static final double REFUSAL_FACTOR = 0.7;

    /** The minimum factor of a window. */
    private static final double MINIMUM_FACTOR = 0.05;

    /** The amount by which an answer increases the factor of a window. */
    private static final double ANSWER_INCREMENT = 0.05;

    /** The shared tables. */
    private final SampleContext context;

    /** The factors by which windows are reduced, by pool. The factor of an absent pool is one. */
    private final Map<PoolName, Double> factors = new HashMap<>();

    /**
     * Creates a new window.
     *
     * @param context The shared tables.
     */
    PoolWindow(SampleContext context) {
        this.context = context;
    }

    /**
     * Returns the maximum number of generations in progress.
     *
     * @param name The pool.
     * @return The maximum number, at least one if the pool is configured and zero otherwise.
     */
    int size(PoolName name) {
        return context.pool(name).map(pool -> size(name, pool)).orElse(0);
    }

    /**
     * Reduces the window after the request path refused a generation.
     *
     * @param pool The pool.
     */
    void refused(PoolName pool) {
        factors.merge(pool, REFUSAL_FACTOR, (factor, reduction) -> Math.max(MINIMUM_FACTOR, factor * reduction));
    }

    /**
     * Increases the window after a generation was answered.
     *
     * @param pool The pool.
     */
    void answered(PoolName pool) {
        factors.computeIfPresent(pool, (_pool, factor) -> Math.min(1, factor + ANSWER_INCREMENT));
    }

    /**
     * Computes the window of a pool.
     *
     * @param name The pool.
     * @param pool The pool's settings.
     * @return The maximum number of generations in progress.
     */
    private int size(PoolName name, PoolSettings pool) {
        int initial = pool.limits().initialConcurrency();
        int capacity = pool.endpoints().keySet().stream()
                .mapToInt(engine -> context.readings.capacity(name, engine, initial))
                .sum();
        int nodes = Math.max(1, context.roles.working().size());
        double share = nodes == 1 ? capacity : Math.min(capacity, capacity * OVERCOMMIT_FACTOR / nodes);
        return (int) Math.max(1, Math.ceil(share * factors.getOrDefault(name, 1.0)));
    }
}
