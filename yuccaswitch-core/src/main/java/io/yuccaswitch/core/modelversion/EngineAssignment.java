package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The assignment of models to the engines of a pool. Each engine is kept up to date for one model. Because loads are
 * expensive, the models share the engines evenly, and an engine changes its model only if the shares differ by two or
 * more.
 */
final class EngineAssignment {

    /** The assigned models by engine. */
    private final Map<EndpointName, String> models = new HashMap<>();

    /**
     * Updates the assignment to the current engines.
     *
     * @param engines The working engines of one pool.
     * @param served The models that the pool serves.
     * @param newestVersions The newest versions, by model.
     */
    void update(List<RegisteredEndpoint> engines, Collection<String> served, Map<String, Long> newestVersions) {
        if (served.isEmpty()) {
            return;
        }
        Set<EndpointName> current = new HashSet<>();
        engines.forEach(engine -> current.add(engine.name()));
        models.keySet().removeIf(name -> !current.contains(name));
        models.values().removeIf(model -> !served.contains(model));
        List<RegisteredEndpoint> unassigned = new ArrayList<>(engines);
        unassigned.removeIf(engine -> models.containsKey(engine.name()));
        unassigned.sort(Comparator.comparing(RegisteredEndpoint::name));
        int share = (engines.size() + served.size() - 1) / served.size();
        for (RegisteredEndpoint engine : unassigned) {
            models.put(engine.name(), bestFor(engine, served, newestVersions, share));
        }
        balance(served);
    }

    /**
     * Returns the model of an engine.
     *
     * @param engine The engine.
     * @return The model, or empty if it has none.
     */
    Optional<String> modelOf(EndpointName engine) {
        return Optional.ofNullable(models.get(engine));
    }

    /**
     * Finds the model for an unassigned engine: among the models without a full share, the one of which it lags least.
     *
     * @param engine The engine.
     * @param served The models that the pool serves.
     * @param newestVersions The newest versions, by model.
     * @param share The number of engines in a full share.
     * @return The model.
     */
    private String bestFor(
            RegisteredEndpoint engine, Collection<String> served, Map<String, Long> newestVersions, int share) {
        return served.stream()
                .min(Comparator.comparing((String model) -> count(model) >= share)
                        .thenComparingLong(model -> lag(engine, model, newestVersions))
                        .thenComparingLong(this::count)
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    /**
     * Returns the number of versions by which an engine lags.
     *
     * @param engine The engine.
     * @param model The model.
     * @param newestVersions The newest versions, by model.
     * @return The number of versions.
     */
    private static long lag(RegisteredEndpoint engine, String model, Map<String, Long> newestVersions) {
        long version = engine.version(model).orElse(0);
        return Math.max(0, newestVersions.getOrDefault(model, version) - version);
    }

    /**
     * Counts the engines that are assigned to a model.
     *
     * @param model The model.
     * @return The number of engines.
     */
    long count(String model) {
        return models.values().stream().filter(model::equals).count();
    }

    /**
     * Moves engines from the largest share to the smallest one.
     *
     * @param served The models that the pool serves.
     */
    private void balance(Collection<String> served) {
        while (true) {
            String largest =
                    served.stream().max(Comparator.comparingLong(this::count)).orElseThrow();
            String smallest =
                    served.stream().min(Comparator.comparingLong(this::count)).orElseThrow();
            if (count(largest) - count(smallest) < 2) {
                return;
            }
            EndpointName moved = models.entrySet().stream()
                    .filter(entry -> entry.getValue().equals(largest))
                    .map(Map.Entry::getKey)
                    .min(Comparator.naturalOrder())
                    .orElseThrow();
            models.put(moved, smallest);
        }
    }
}
