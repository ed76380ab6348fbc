package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.List;

/** The demand for models that the node that orders loads knows of: its own and what other nodes reported. */
public interface ModelDemand {

    /**
     * Returns whether a job of a model is open.
     *
     * @param model The model.
     * @return {@code true} if this node knows of one.
     */
    boolean hasOpenJob(String model);

    /**
     * Returns the number of items of a model that wait for slots.
     *
     * @param model The model.
     * @return The number, according to this node's jobs and the valid reports of other nodes.
     */
    int waiting(String model);

    /**
     * Returns the number of nodes whose reports are valid.
     *
     * @return The number.
     */
    int reportingNodes();

    /**
     * Returns the other nodes to which notices of loads are sent: those that run jobs, followed by those that have run
     * some recently.
     *
     * @return The nodes, those that run jobs first.
     */
    List<NodeName> runners();

    /**
     * Asks the nodes that run jobs for their reports, although this node may run no job itself.
     *
     * @param until When to stop.
     */
    void followUntil(MonotonicTime until);
}
