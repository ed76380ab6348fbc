package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.identity.PoolName;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the generations that this node has in progress in a pool: its part of the pool's capacity, cut down while the
 * request path refuses work. What waits beyond it waits in this package, where it is ordered.
 */
final class PoolWindow {

    /** How much more than its part of the capacity a node may use, as the groups are not spread evenly. */
    private static final double OVERCOMMIT = 1.5;

    /** The factor by which a refusal cuts the window. */
    private static final double CUT = 0.7;

    /** The smallest factor. */
    private static final double SMALLEST_FACTOR = 0.05;

    /** The amount by which an answer widens the window. */
    private static final double WIDENING = 0.05;

    /** The shared tables. */
    private final SampleContext context;

    /** The factors by pool, one if a pool has none. */
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
     * Returns the largest number of generations in progress.
     *
     * @param name The pool.
     * @return The number, at least one if the pool is configured.
     */
    int size(PoolName name) {
        return context.pool(name).map(pool -> size(name, pool)).orElse(0);
    }

    /**
     * Takes in that the request path refused a generation.
     *
     * @param pool The pool.
     */
    void refused(PoolName pool) {
        factors.merge(pool, CUT, (factor, cut) -> Math.max(SMALLEST_FACTOR, factor * cut));
    }

    /**
     * Takes in that a generation was answered.
     *
     * @param pool The pool.
     */
    void answered(PoolName pool) {
        factors.computeIfPresent(pool, (_pool, factor) -> Math.min(1, factor + WIDENING));
    }

    /**
     * Computes the window of a pool.
     *
     * @param name The pool.
     * @param pool The pool's settings.
     * @return The largest number of generations in progress.
     */
    private int size(PoolName name, PoolSettings pool) {
        int initial = pool.limits().initialConcurrency();
        int capacity = pool.endpoints().keySet().stream()
                .mapToInt(engine -> context.readings.capacity(name, engine, initial))
                .sum();
        int nodes = Math.max(1, context.roles.working().size());
        double share = nodes == 1 ? capacity : Math.min(capacity, capacity * OVERCOMMIT / nodes);
        return (int) Math.max(1, Math.ceil(share * factors.getOrDefault(name, 1.0)));
    }
}
