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
 * Which model each engine of a pool is kept up to date for. Each load has a price, so the models share the engines
 * evenly, and an engine changes its model only where the shares differ by two or more.
 */
final class EngineAssignment {

    /** The models of the engines. */
    private final Map<EndpointName, String> models = new HashMap<>();

    /**
     * Adapts the assignment to the engines that there are.
     *
     * @param engines The working engines of one pool.
     * @param served The models that the pool serves.
     * @param named The newest versions, by model.
     */
    void adapt(List<RegisteredEndpoint> engines, Collection<String> served, Map<String, Long> named) {
        if (served.isEmpty()) {
            return;
        }
        Set<EndpointName> present = new HashSet<>();
        engines.forEach(engine -> present.add(engine.name()));
        models.keySet().removeIf(name -> !present.contains(name));
        models.values().removeIf(model -> !served.contains(model));
        List<RegisteredEndpoint> free = new ArrayList<>(engines);
        free.removeIf(engine -> models.containsKey(engine.name()));
        free.sort(Comparator.comparing(RegisteredEndpoint::name));
        int share = (engines.size() + served.size() - 1) / served.size();
        for (RegisteredEndpoint engine : free) {
            models.put(engine.name(), bestFor(engine, served, named, share));
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
     * Finds the model for an engine without one: that of which it lags least, as long as the model's share is not full.
     *
     * @param engine The engine.
     * @param served The models that the pool serves.
     * @param named The newest versions, by model.
     * @param share The number of engines of a full share.
     * @return The model.
     */
    private String bestFor(RegisteredEndpoint engine, Collection<String> served, Map<String, Long> named, int share) {
        return served.stream()
                .min(Comparator.comparing((String model) -> count(model) >= share)
                        .thenComparingLong(model -> lag(engine, model, named))
                        .thenComparingLong(this::count)
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    /**
     * Returns by how many versions an engine lags.
     *
     * @param engine The engine.
     * @param model The model.
     * @param named The newest versions, by model.
     * @return The number of versions.
     */
    private static long lag(RegisteredEndpoint engine, String model, Map<String, Long> named) {
        long version = engine.version(model).orElse(0);
        return Math.max(0, named.getOrDefault(model, version) - version);
    }

    /**
     * Counts the engines of a model.
     *
     * @param model The model.
     * @return The number of engines.
     */
    private long count(String model) {
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
