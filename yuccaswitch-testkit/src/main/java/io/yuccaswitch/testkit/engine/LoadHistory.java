package io.yuccaswitch.testkit.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Load reports that lag behind the actual state of the engine. */
final class LoadHistory implements AutoCloseable {

    /** The interval at which the state is sampled. */
    private static final long SAMPLING_INTERVAL_MILLIS = 10;

    /** The lag of the reports in nanoseconds. */
    private final long lagNanos;

    /** The supplier of the actual state. */
    private final Supplier<Load> current;

    /** The states that may still be reported, oldest first. */
    private final Deque<Load> states = new ArrayDeque<>();

    /** The thread that samples the state. */
    private final Thread thread = new Thread(this::sample, "load-history");

    /**
     * Creates a history and starts it.
     *
     * @param lagMillis The lag of the reports in milliseconds.
     * @param current The supplier of the actual state.
     */
    LoadHistory(long lagMillis, Supplier<Load> current) {
        lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
        this.current = current;
        states.add(current.get());
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns the latest state that is at least as old as the lag.
     *
     * @return The state.
     */
    synchronized Load report() {
        if (lagNanos == 0) {
            return current.get();
        }
        long visible = System.nanoTime() - lagNanos;
        Load latest = states.remove();
        while (!states.isEmpty() && states.element().at() - visible <= 0) {
            latest = states.remove();
        }
        states.addFirst(latest);
        return latest;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        thread.interrupt();
    }

    /** Samples the state until the history is closed. */
    private void sample() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(SAMPLING_INTERVAL_MILLIS);
                add(current.get());
            }
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Adds a state and removes those that are too old to be reported.
     *
     * @param state The state.
     */
    private synchronized void add(Load state) {
        states.add(state);
        report();
    }

    /**
     * The state of an engine.
     *
     * @param active The number of active requests.
     * @param waiting The number of waiting requests.
     * @param cacheUse The utilization of the cache, between zero and one.
     * @param loadedVersions The weight versions by model or adapter.
     * @param leaving Whether the engine is leaving.
     * @param at The time of the sample, in nanoseconds of the monotonic clock.
     */
    record Load(int active, int waiting, double cacheUse, Map<String, Long> loadedVersions, boolean leaving, long at) {}
}
