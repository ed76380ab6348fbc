package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;

/** Calls to engines about their versions. */
public sealed interface OrderEffect extends Effect {

    /**
     * An engine is asked for its report.
     *
     * @param engine The engine.
     */
    record ReadReport(RegisteredEndpoint engine) implements OrderEffect {}

    /**
     * An engine is ordered to a version.
     *
     * @param engine The engine.
     * @param model The model.
     * @param version The version.
     * @param retainsRuns Whether runs in progress go on under the new version, rather than finish first.
     * @param holder The node that gives the order.
     * @param fence The fencing number of its lease.
     * @param expectedSequence The number of orders that the engine must have accepted before.
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
