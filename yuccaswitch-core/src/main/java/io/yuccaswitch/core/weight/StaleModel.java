package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A model whose version on an engine is older than the newest one.
 *
 * @param engine The engine.
 * @param group The base of the group that the model belongs to.
 * @param model The model.
 * @param newest The newest version.
 * @param failures The number of consecutive failures of this model on the engine.
 */
record StaleModel(EngineRow engine, String group, String model, PublishedVersion newest, int failures) {

    /** Orders models without failures first, then those that lag by the most versions. */
    private static final Comparator<StaleModel> URGENCY = Comparator.comparing(
                    (StaleModel stale) -> stale.failures() > 0)
            .thenComparing(Comparator.comparingLong(StaleModel::versionsBehind).reversed())
            .thenComparing(stale -> stale.engine().name());

    /**
     * Finds the models that may be ordered now, at most one for each engine.
     *
     * @param pool The pool.
     * @param engines The engines of the pool.
     * @param versions The newest versions.
     * @param now The current time.
     * @return The stale models, the most urgent first.
     */
    static List<StaleModel> find(PoolRow pool, List<EngineRow> engines, VersionView versions, MonotonicTime now) {
        List<StaleModel> found = new ArrayList<>();
        for (EngineRow engine : engines) {
            if (engine.isUsable() && engine.order().isEmpty()) {
                ofEngine(pool, engine, versions, now).ifPresent(found::add);
            }
        }
        found.sort(URGENCY);
        return found;
    }

    /**
     * Finds the model of an engine that is to be ordered next. A base comes before its adapters, which wait while the
     * base is stale and the engine holds no version of it.
     *
     * @param pool The pool.
     * @param engine The engine.
     * @param versions The newest versions.
     * @param now The current time.
     * @return The stale model, or empty if there is none.
     */
    private static Optional<StaleModel> ofEngine(
            PoolRow pool, EngineRow engine, VersionView versions, MonotonicTime now) {
        List<String> bases = pool.placement().getOrDefault(engine.name(), List.of());
        for (ModelGroup group : pool.plan().groups()) {
            if (!bases.contains(group.base())) {
                continue;
            }
            for (ModelGroup.Model model : group.models()) {
                Optional<StaleModel> stale = versions.newest(model.trainer())
                        .filter(newest -> isStale(engine, model.name(), newest))
                        .map(newest -> of(engine, group.base(), model.name(), newest));
                if (stale.filter(found -> found.isDue(now)).isPresent()) {
                    return stale;
                }
                if (stale.isPresent() && engine.loaded(group.base()).isEmpty()) {
                    break;
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether an engine lacks the newest version of a model.
     *
     * @param engine The engine.
     * @param model The model.
     * @param newest The newest version.
     * @return {@code true} if the engine holds none or an older one.
     */
    private static boolean isStale(EngineRow engine, String model, PublishedVersion newest) {
        return engine.loaded(model)
                .filter(version -> version >= newest.version())
                .isEmpty();
    }

    /**
     * Creates a stale model.
     *
     * @param engine The engine.
     * @param group The base of the group that the model belongs to.
     * @param model The model.
     * @param newest The newest version.
     * @return The stale model.
     */
    private static StaleModel of(EngineRow engine, String group, String model, PublishedVersion newest) {
        EngineRow.Failure failure = engine.failures().get(model);
        return new StaleModel(engine, group, model, newest, failure == null ? 0 : failure.count());
    }

    /**
     * Returns whether the model may be ordered now.
     *
     * @param now The current time.
     * @return {@code true} if it did not fail, if the backoff after its failure has passed, or if there is a newer
     *     version than the one that failed.
     */
    private boolean isDue(MonotonicTime now) {
        EngineRow.Failure failure = engine.failures().get(model);
        return failure == null || failure.version() < newest.version() || !now.isBefore(failure.retryAt());
    }

    /**
     * Returns by how many versions the engine lags.
     *
     * @return The number of versions, or {@link Long#MAX_VALUE} if the engine holds none.
     */
    private long versionsBehind() {
        return engine.loaded(model).map(version -> newest.version() - version).orElse(Long.MAX_VALUE);
    }
}
