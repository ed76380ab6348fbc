package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.NodeName;

/**
 * The index entry of an accepted batch job, which is available at every node. Its existence means that the job is
 * accepted.
 *
 * @param id The job.
 * @param runner The node that runs it.
 * @param ended Whether the job was ended by its submitter.
 * @param items The number of its items.
 * @param model The model that generates its outputs, or an empty string in an entry of an earlier release.
 */
public record BatchIndexEntry(BatchJobId id, NodeName runner, boolean ended, int items, String model) {

    /**
     * Returns the entry with another runner.
     *
     * @param node The node that runs the job.
     * @return The entry.
     */
    BatchIndexEntry withRunner(NodeName node) {
        return new BatchIndexEntry(id, node, ended, items, model);
    }

    /**
     * Returns the entry marked as ended.
     *
     * @return The entry.
     */
    BatchIndexEntry withEnd() {
        return new BatchIndexEntry(id, runner, true, items, model);
    }
}
