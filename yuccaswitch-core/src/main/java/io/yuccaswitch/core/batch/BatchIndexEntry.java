package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.NodeName;

/**
 * What every node may need to know of an accepted batch job. Its existence means that the job is accepted.
 *
 * @param id The job.
 * @param runner The node that runs it.
 * @param ended Whether its submitter ended it.
 * @param items The number of its items.
 * @param model The model that makes its outputs, or an empty text in an entry of an earlier release.
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
     * Returns the entry of the ended job.
     *
     * @return The entry.
     */
    BatchIndexEntry withEnd() {
        return new BatchIndexEntry(id, runner, true, items, model);
    }
}
