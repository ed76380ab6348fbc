package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;

/** Calls to engines about their versions. */
public sealed interface OrderEffect extends Effect {

    /**
     * Requests the report of an engine.
     *
     * @param engine The engine.
     */
    record ReadReport(RegisteredEndpoint engine) implements OrderEffect {}

    /**
     * Orders an engine to load a version.
     *
     * @param engine The engine.
     * @param model The model.
     * @param version The version.
     * @param retainsRuns Whether runs in progress continue with the new version, rather than finish before the load.
     * @param holder The node that gives the order.
     * @param fence The fencing number of its lease.
     * @param expectedSequence The number of orders that the engine must have accepted so far.
     */
    record LoadVersion(
            RegisteredEndpoint engine,
            String model,
            long version,
            boolean retainsRuns,
            NodeName holder,
            long fence,
            long expectedSequence)
            implements OrderEffect {}
}
