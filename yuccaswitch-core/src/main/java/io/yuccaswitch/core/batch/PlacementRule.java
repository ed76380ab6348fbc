package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.util.List;
import java.util.Optional;

/** Restricts and ranks the engines at which an item may start. Implementations only read the tables. */
interface PlacementRule {

    /**
     * Returns whether an item may start at an engine.
     *
     * @param placement The start.
     * @param engine The engine, which has a free slot.
     * @return {@code true} if it may.
     */
    boolean allows(Placement placement, RegisteredEndpoint engine);

    /**
     * Returns the engines among which the start of an item is decided.
     *
     * @param placement The start.
     * @param engines The engines that have a free slot.
     * @return The engines at which the item may start, or others where waiting would cost more than they do.
     */
    default List<RegisteredEndpoint> filter(Placement placement, List<RegisteredEndpoint> engines) {
        return engines.stream().filter(engine -> allows(placement, engine)).toList();
    }

    /**
     * Describes how the rule affected a start, for logs.
     *
     * @param _placement The start.
     * @param _engine The chosen engine.
     * @return The decision, or empty if the rule did not affect it.
     */
    default Optional<Decision> explain(Placement _placement, RegisteredEndpoint _engine) {
        return Optional.empty();
    }

    /**
     * Estimates by how much later the item ends at an engine than at an idle engine of usual speed. The estimates of
     * all rules are added, and the engine with the lowest sum is chosen.
     *
     * @param placement The start.
     * @param engine The engine.
     * @return The delay in seconds, not negative.
     */
    double delaySeconds(Placement placement, RegisteredEndpoint engine);
}
