package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** How many items this node runs at each engine, and which engines it leaves alone for a while. */
final class EngineLoads {

    /** The numbers of items in progress. */
    private final Map<EndpointName, Integer> running = new HashMap<>();

    /** Until when an engine gets no item of a model, by engine and model. */
    private final Map<Key, MonotonicTime> pausedUntil = new HashMap<>();

    /**
     * Returns the number of items in progress.
     *
     * @param endpoint The engine.
     * @return The number.
     */
    int running(EndpointName endpoint) {
        return running.getOrDefault(endpoint, 0);
    }

    /**
     * Counts an item that begins.
     *
     * @param endpoint The engine.
     */
    void begin(EndpointName endpoint) {
        running.merge(endpoint, 1, Integer::sum);
    }

    /**
     * Counts an item that ended.
     *
     * @param endpoint The engine.
     */
    void end(EndpointName endpoint) {
        running.computeIfPresent(endpoint, (_endpoint, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Leaves an engine alone for a while.
     *
     * @param endpoint The engine.
     * @param model The model.
     * @param now The present.
     * @param time For how long.
     */
    void pause(EndpointName endpoint, String model, MonotonicTime now, Duration time) {
        pausedUntil.values().removeIf(until -> until.isBefore(now));
        pausedUntil.merge(new Key(endpoint, model), now.plus(time), (a, b) -> a.isBefore(b) ? b : a);
    }

    /**
     * Returns whether an engine is left alone.
     *
     * @param endpoint The engine.
     * @param model The model.
     * @param now The present.
     * @return {@code true} if it gets no item of the model now.
     */
    boolean isPaused(EndpointName endpoint, String model, MonotonicTime now) {
        MonotonicTime until = pausedUntil.get(new Key(endpoint, model));
        return until != null && now.isBefore(until);
    }

    /**
     * An engine and one of its models.
     *
     * @param endpoint The engine.
     * @param model The model.
     */
    private record Key(EndpointName endpoint, String model) {}
}
