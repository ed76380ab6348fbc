package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** How many items this node runs at each engine, and which engines it leaves alone for a while. */
final class EngineLoads {

    /** The pause after a first refusal: about a sixth of the loading of a version. */
    private static final Duration FIRST_REFUSAL_PAUSE = Duration.ofMillis(150);

    /** The longest pause after refusals in a row: less than the loading of a version. */
    private static final Duration LONGEST_REFUSAL_PAUSE = Duration.ofMillis(400);

    /** The numbers of items in progress. */
    private final Map<EndpointName, Integer> running = new HashMap<>();

    /** Until when an engine gets no item of a model, by engine and model. */
    private final Map<Key, MonotonicTime> pausedUntil = new HashMap<>();

    /** The numbers of refusals in a row. */
    private final Map<Key, Integer> refusals = new HashMap<>();

    /** The engines that are being tried with one item after a refusal. */
    private final Set<Key> trials = new HashSet<>();

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
     * Returns how many items run at each engine.
     *
     * @return The numbers, for engines with at least one.
     */
    Map<EndpointName, Integer> running() {
        return Map.copyOf(running);
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
     * Takes a refusal, after which the engine is left alone for a time that grows with each refusal in a row, and is
     * then tried with one item.
     *
     * @param endpoint The engine.
     * @param model The model.
     * @param now The present.
     */
    void refuse(EndpointName endpoint, String model, MonotonicTime now) {
        Key key = new Key(endpoint, model);
        trials.remove(key);
        if (isPaused(endpoint, model, now)) {
            return;
        }
        int count = refusals.merge(key, 1, Integer::sum);
        Duration pause = FIRST_REFUSAL_PAUSE.multipliedBy(1L << Math.min(count - 1, 4));
        pause(endpoint, model, now, pause.compareTo(LONGEST_REFUSAL_PAUSE) < 0 ? pause : LONGEST_REFUSAL_PAUSE);
    }

    /**
     * Notes that an engine runs an item, such that it is not in doubt any more.
     *
     * @param endpoint The engine.
     * @param model The model.
     */
    void succeed(EndpointName endpoint, String model) {
        Key key = new Key(endpoint, model);
        refusals.remove(key);
        trials.remove(key);
    }

    /**
     * Notes that an item is given to an engine, which is a trial if the engine refused the last one.
     *
     * @param endpoint The engine.
     * @param model The model.
     */
    void tryOut(EndpointName endpoint, String model) {
        Key key = new Key(endpoint, model);
        if (refusals.containsKey(key)) {
            trials.add(key);
        }
    }

    /**
     * Notes that an attempt ended without a word on whether the engine takes items.
     *
     * @param endpoint The engine.
     * @param model The model.
     */
    void endTrial(EndpointName endpoint, String model) {
        trials.remove(new Key(endpoint, model));
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
     * Returns whether an engine that refused the last item is being tried with another one.
     *
     * @param endpoint The engine.
     * @param model The model.
     * @return {@code true} if it gets no further item until the trial has ended.
     */
    boolean isOnTrial(EndpointName endpoint, String model) {
        return trials.contains(new Key(endpoint, model));
    }

    /**
     * An engine and one of its models.
     *
     * @param endpoint The engine.
     * @param model The model.
     */
    private record Key(EndpointName endpoint, String model) {}
}
