package io.yuccaswitch.testkit.engine;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** The weight versions that are loaded in an engine, and those that it reports as loaded. */
final class LoadedModels {

    /** The loaded versions by model or adapter. */
    private final Map<String, Long> versions = new ConcurrentHashMap<>();

    /** The versions by model or adapter that load reports name. */
    private final Map<String, Long> claimed = new ConcurrentHashMap<>();

    /** The default model, for requests that name none. */
    private final String defaultModel;

    /**
     * Creates the models that are loaded at startup.
     *
     * @param models The models as {@code name=version}.
     */
    LoadedModels(List<String> models) {
        for (String model : models) {
            int separator = model.indexOf('=');
            install(model.substring(0, separator), Long.parseLong(model.substring(separator + 1)));
        }
        defaultModel = models.get(0).substring(0, models.get(0).indexOf('='));
    }

    /**
     * Returns the default model, for requests that name none.
     *
     * @return The model's name.
     */
    String defaultModel() {
        return defaultModel;
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
     * Reports a version as loaded without installing it.
     *
     * @param model The model or adapter.
     * @param version The version.
     */
    void claim(String model, long version) {
        claimed.put(model, version);
    }

    /**
     * Returns the loaded version of a model.
     *
     * @param model The model or adapter.
     * @return The version, or empty if the model is not loaded.
     */
    Optional<Long> version(String model) {
        return Optional.ofNullable(versions.get(model));
    }

    /**
     * Returns the versions that load reports name.
     *
     * @return A copy of the versions by model or adapter.
     */
    Map<String, Long> claimed() {
        return Map.copyOf(claimed);
    }
}
