package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeIdentity;
import java.util.List;

/** Observations about batch jobs, which the shell counts. */
public sealed interface JobObservation extends Effect {

    /**
     * This node started to run a job.
     *
     * @param id The job.
     * @param cause The cause.
     */
    record Started(BatchJobId id, JobStart.Cause cause) implements JobObservation {}

    /**
     * An object with results of a job of this node is listed.
     *
     * @param id The job.
     * @param origin Who created it.
     */
    record ObjectListed(BatchJobId id, Origin origin) implements JobObservation {}

    /**
     * This node began to load a job.
     *
     * @param id The job.
     */
    record LoadBegun(BatchJobId id) implements JobObservation {}

    /**
     * A load that was begun has ended in some way.
     *
     * @param id The job.
     */
    record LoadEnded(BatchJobId id) implements JobObservation {}

    /**
     * An object contains items whose results already stand at earlier positions.
     *
     * @param node The node that found them.
     * @param id The job.
     * @param object The number of the object.
     * @param items The items.
     */
    record ItemsRepeated(NodeIdentity node, BatchJobId id, int object, List<RepeatedItem> items)
            implements JobObservation {

        /**
         * Copies the items.
         *
         * @param node The node that found them.
         * @param id The job.
         * @param object The number of the object.
         * @param items The items.
         */
        public ItemsRepeated {
            items = List.copyOf(items);
        }
    }

    /** Who created an object with results. */
    enum Origin {
        /** This node. */
        LISTED,
        /** Another node, or an earlier write of this node that was not answered. */
        CONFLICTING,
        /** Another node on behalf of this one. */
        RELAYED
    }
}
