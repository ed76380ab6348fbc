package io.yuccaswitch.testkit.engine;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** The weight versions that an engine holds, and those that it claims to hold. */
final class LoadedModels {

    /** The true versions by model or adapter. */
    private final Map<String, Long> versions = new ConcurrentHashMap<>();

    /** The versions by model or adapter that load reports tell. */
    private final Map<String, Long> claimed = new ConcurrentHashMap<>();

    /** The model that requests get which name none. */
    private final String first;

    /**
     * Creates the models that are loaded at the start.
     *
     * @param models The models as {@code name=version}.
     */
    LoadedModels(List<String> models) {
        for (String model : models) {
            int separator = model.indexOf('=');
            install(model.substring(0, separator), Long.parseLong(model.substring(separator + 1)));
        }
        first = models.get(0).substring(0, models.get(0).indexOf('='));
    }

    /**
     * Returns the model that requests get which name none.
     *
     * @return The model's name.
     */
    String first() {
        return first;
    }

    /**
     * Installs a version.
     *
     * @param model The model or adapter.
     * @param version The version.
     */
    void install(String model, long version) {
        versions.put(model, version);
        claimed.put(model, version);
    }

    /**
     * Claims a version without installing it.
     *
     * @param model The model or adapter.
     * @param version The version.
     */
    void claim(String model, long version) {
        claimed.put(model, version);
    }

    /**
     * Returns the true version of a model.
     *
     * @param model The model or adapter.
     * @return The version, or empty if the model is not loaded.
     */
    Optional<Long> version(String model) {
        return Optional.ofNullable(versions.get(model));
    }

    /**
     * Returns the versions that load reports tell.
     *
     * @return A copy of the versions by model or adapter.
     */
    Map<String, Long> claimed() {
        return Map.copyOf(claimed);
    }
}
