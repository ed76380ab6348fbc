package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The engines that are about to load or are loading a version, as the node that orders loads announced. They refuse
 * items of the model until the load has ended.
 */
final class LoadNotices {

    /**
     * The maximum validity of a notice, which bounds the effect of an erroneous duration. A load that takes longer is
     * announced again.
     */
    private static final Duration MAXIMUM_VALIDITY = Duration.ofSeconds(2);

    /** The notices by engine and model. */
    private final Map<Key, Notice> notices = new HashMap<>();

    /**
     * Records a notice, which replaces an earlier one.
     *
     * @param sender The node that orders the load.
     * @param engine The engine.
     * @param model The model.
     * @param version The version.
     * @param now The current time.
     * @param duration The expected time until the load ends.
     * @return Whether the notice announces another load than the notices before it.
     */
    boolean begin(
            NodeName sender, EndpointName engine, String model, long version, MonotonicTime now, Duration duration) {
        notices.values().removeIf(notice -> !now.isBefore(notice.until()));
        Duration validity = duration.compareTo(MAXIMUM_VALIDITY) < 0 ? duration : MAXIMUM_VALIDITY;
        Notice previous = notices.put(new Key(engine, model), new Notice(sender, version, now.plus(validity)));
        return previous == null || previous.version() != version;
    }

    /**
     * Ends a notice, unless another node has announced a load since.
     *
     * @param sender The node that ordered the load.
     * @param engine The engine.
     * @param model The model.
     */
    void end(NodeName sender, EndpointName engine, String model) {
        notices.computeIfPresent(
                new Key(engine, model), (_key, notice) -> notice.sender().equals(sender) ? null : notice);
    }

    /**
     * Returns whether an engine is expected to refuse items of a model because it loads a version.
     *
     * @param engine The engine.
     * @param model The model.
     * @param now The current time.
     * @return {@code false} once the notice has expired or the engine is known to have the version.
     */
    boolean isLoading(RegisteredEndpoint engine, String model, MonotonicTime now) {
        Notice notice = notices.get(new Key(engine.name(), model));
        return notice != null && now.isBefore(notice.until()) && !engine.servesAtLeast(model, notice.version());
    }

    /**
     * An engine and one of its models.
     *
     * @param engine The engine.
     * @param model The model.
     */
    private record Key(EndpointName engine, String model) {}

    /**
     * A notice.
     *
     * @param sender The node that orders the load.
     * @param version The version.
     * @param until When the notice expires.
     */
    private record Notice(NodeName sender, long version, MonotonicTime until) {}
}
