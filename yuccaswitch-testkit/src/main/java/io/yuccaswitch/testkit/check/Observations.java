package io.yuccaswitch.testkit.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * All observations of a run.
 *
 * @param all The observations in any order.
 */
public record Observations(List<Observation> all) {

    /** Retains only the last observation of each endpoint run, and all other observations. */
    public Observations {
        Map<String, Observation> runs = new LinkedHashMap<>();
        List<Observation> kept = new ArrayList<>();
        for (Observation observation : all) {
            if (observation instanceof Observation.EndpointRun run) {
                runs.put(run.endpoint() + " " + run.run(), run);
            } else {
                kept.add(observation);
            }
        }
        kept.addAll(runs.values());
        all = List.copyOf(kept);
    }

    /**
     * Returns the observations of a type.
     *
     * @param type The type.
     * @param <T> The type.
     * @return The observations of this type, in their order.
     */
    public <T extends Observation> List<T> of(Class<T> type) {
        List<T> matching = new ArrayList<>();
        for (Observation observation : all) {
            if (type.isInstance(observation)) {
                matching.add(type.cast(observation));
            }
        }
        return matching;
    }

    /**
     * Returns the observations of a type, grouped by a key.
     *
     * @param type The type.
     * @param key The key of an observation.
     * @param <K> The type of the key.
     * @param <T> The type of the observations.
     * @return The observations by their keys.
     */
    public <K, T extends Observation> Map<K, List<T>> by(Class<T> type, Function<? super T, K> key) {
        return of(type).stream().collect(Collectors.groupingBy(key));
    }
}
