package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.NodeName;
import java.util.Optional;

/**
 * Why a node starts to run a job.
 *
 * @param cause The cause.
 * @param from The node that the job comes from, if it comes from another one.
 */
public record JobStart(Cause cause, Optional<NodeName> from) {

    /** The causes for which a node starts to run a job. */
    public enum Cause {
        /** A submission was accepted at this node. */
        SUBMITTED("accepted here"),
        /** The entry of a submission, whose creation was not answered, was read back. */
        READ_BACK("accepted here, entry read back"),
        /** Another node accepted the job and notified this one. */
        HANDED_OVER("handed over by"),
        /** The index names this node as the runner. */
        LOADED("own entry loaded from the index"),
        /** The runner is gone, and this node claimed the job. */
        TAKEN_OVER("taken over from");

        /** The description for logs. */
        private final String description;

        /**
         * Creates a cause.
         *
         * @param description The description for logs.
         */
        Cause(String description) {
            this.description = description;
        }
    }

    /**
     * Creates the start of a job that comes from no other node.
     *
     * @param cause The cause.
     * @return The start.
     */
    static JobStart of(Cause cause) {
        return new JobStart(cause, Optional.empty());
    }

    /**
     * Creates the start of a job that comes from another node.
     *
     * @param cause The cause.
     * @param node The other node.
     * @return The start.
     */
    static JobStart from(Cause cause, NodeName node) {
        return new JobStart(cause, Optional.of(node));
    }

    @Override
    public String toString() {
        return cause.description + from.map(node -> " " + node).orElse("");
    }
}
