package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The loads of the attempts in progress at each engine, and the engines that are temporarily excluded. Whatever an
 * attempt holds at an engine belongs to its load, so that one call ends all of it, however the attempt ends.
 */
final class EngineLoads {

    /** The exclusion after the first refusal: about a sixth of the time that loading a version takes. */
    private static final Duration INITIAL_REFUSAL_EXCLUSION = Duration.ofMillis(150);

    /** The maximum exclusion after consecutive refusals: less than the time that loading a version takes. */
    private static final Duration MAXIMUM_REFUSAL_EXCLUSION = Duration.ofMillis(400);

    /** The numbers of items in progress. */
    private final Map<EndpointName, Integer> running = new HashMap<>();

    /** The number of starts and ends of items. */
    private long changes;

    /** The time until which an engine is excluded, by engine and model. */
    private final Map<Key, MonotonicTime> excludedUntil = new HashMap<>();

    /** The numbers of consecutive refusals. */
    private final Map<Key, Integer> refusals = new HashMap<>();

    /** The loads of the attempts with which engines are being tried after a refusal. */
    private final Map<Key, Load> trials = new HashMap<>();

    /**
     * Returns the number of starts and ends of items.
     *
     * @return The number, for caches of values that depend on the items in progress.
     */
    long changeCount() {
        return changes;
    }

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
     * Returns the number of items that run at each engine.
     *
     * @return The numbers, for engines with at least one.
     */
    Map<EndpointName, Integer> running() {
        return Map.copyOf(running);
    }

    /**
     * Counts an attempt that starts, which is a trial if the engine refused the last one.
     *
     * @param engine The engine.
     * @param model The model.
     * @return The load, which {@link #end} ends.
     */
    Load begin(EndpointName engine, String model) {
        changes++;
        Load load = new Load(engine, model, changes);
        running.merge(engine, 1, Integer::sum);
        if (refusals.containsKey(load.key())) {
            trials.putIfAbsent(load.key(), load);
        }
        return load;
    }

    /**
     * Counts an attempt that ended, and ends its trial if it was one.
     *
     * @param load The load of the attempt.
     */
    void end(Load load) {
        changes++;
        running.computeIfPresent(load.engine(), (_engine, count) -> count > 1 ? count - 1 : null);
        trials.remove(load.key(), load);
    }

    /**
     * Returns the loads of the attempts with which engines are being tried.
     *
     * @return The loads.
     */
    Set<Load> trials() {
        return Set.copyOf(trials.values());
    }

    /**
     * Excludes an engine for a while.
     *
     * @param endpoint The engine.
     * @param model The model.
     * @param now The current time.
     * @param duration The duration of the exclusion.
     */
    void exclude(EndpointName endpoint, String model, MonotonicTime now, Duration duration) {
        excludedUntil.values().removeIf(until -> until.isBefore(now));
        excludedUntil.merge(new Key(endpoint, model), now.plus(duration), (a, b) -> a.isBefore(b) ? b : a);
    }

    /**
     * Handles a refusal. The engine is excluded for a time that grows with each consecutive refusal, and is then tried
     * with one item.
     *
     * @param endpoint The engine.
     * @param model The model.
     * @param now The current time.
     */
    void refuse(EndpointName endpoint, String model, MonotonicTime now) {
        Key key = new Key(endpoint, model);
        if (isExcluded(endpoint, model, now)) {
            return;
        }
        int count = refusals.merge(key, 1, Integer::sum);
        Duration exclusion = INITIAL_REFUSAL_EXCLUSION.multipliedBy(1L << Math.min(count - 1, 4));
        exclude(
                endpoint,
                model,
                now,
                exclusion.compareTo(MAXIMUM_REFUSAL_EXCLUSION) < 0 ? exclusion : MAXIMUM_REFUSAL_EXCLUSION);
    }

    /**
     * Records that an engine runs an item, which ends its refusals and trial.
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
     * Returns whether an engine is excluded.
     *
     * @param endpoint The engine.
     * @param model The model.
     * @param now The current time.
     * @return {@code true} if it currently gets no item of the model.
     */
    boolean isExcluded(EndpointName endpoint, String model, MonotonicTime now) {
        MonotonicTime until = excludedUntil.get(new Key(endpoint, model));
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
        return trials.containsKey(new Key(endpoint, model));
    }

    /**
     * The load of an attempt at an engine.
     *
     * @param engine The engine.
     * @param model The model.
     * @param number The number of the load, which differs from those of all others.
     */
    record Load(EndpointName engine, String model, long number) {

        /**
         * Returns the engine and the model.
         *
         * @return Both.
         */
        private Key key() {
            return new Key(engine, model);
        }
    }

    /**
     * An engine and one of its models.
     *
     * @param endpoint The engine.
     * @param model The model.
     */
    private record Key(EndpointName endpoint, String model) {}
}
