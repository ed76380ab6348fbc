package io.yuccaswitch.testkit.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Load reports that lag behind the engine's true state. */
final class LoadHistory implements AutoCloseable {

    /** The interval at which the state is looked at. */
    private static final long INTERVAL_MILLIS = 10;

    /** The lag of the reports in nanoseconds. */
    private final long lagNanos;

    /** Reads the true state. */
    private final Supplier<Load> current;

    /** The states that may still be reported, oldest first. */
    private final Deque<Load> states = new ArrayDeque<>();

    /** The thread that looks at the state. */
    private final Thread thread = new Thread(this::observe, "load-history");

    /**
     * Creates a history and starts it.
     *
     * @param lagMillis The lag of the reports.
     * @param current Reads the true state.
     */
    LoadHistory(long lagMillis, Supplier<Load> current) {
        lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
        this.current = current;
        states.add(current.get());
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns the state as it was a lag ago.
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

    /** Looks at the state until the history is closed. */
    private void observe() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
                add(current.get());
            }
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Adds a state and forgets those that can't be reported any more.
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
     * @param cacheUse The used share of the cache.
     * @param loadedVersions The weight versions by model or adapter.
     * @param leaving Whether the engine is leaving.
     * @param at The time of the state in nanoseconds.
     */
    record Load(int active, int waiting, double cacheUse, Map<String, Long> loadedVersions, boolean leaving, long at) {}
}
