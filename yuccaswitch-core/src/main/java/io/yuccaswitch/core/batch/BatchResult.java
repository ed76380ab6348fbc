package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.Optional;

/**
 * The result of one item.
 *
 * @param item The identifier of the item.
 * @param completed Whether the output is complete. A result that is not completed belongs to an abandoned item.
 * @param output The data of all events in order, separated by line feeds, or empty if the item was abandoned.
 * @param versions All versions of the weights that generated an event of the output, in ascending order.
 * @param score The score of the output, if the item requires one and is completed.
 */
public record BatchResult(String item, boolean completed, Bytes output, List<Long> versions, Optional<String> score) {

    /** Copies the versions. */
    public BatchResult {
        versions = List.copyOf(versions);
    }

    /**
     * Creates the result of an abandoned item.
     *
     * @param item The identifier of the item.
     * @return The result.
     */
    static BatchResult abandoned(String item) {
        return new BatchResult(item, false, Bytes.EMPTY, List.of(), Optional.empty());
    }

    /**
     * Returns this result with a score.
     *
     * @param given The score.
     * @return The result.
     */
    BatchResult withScore(String given) {
        return new BatchResult(item, completed, output, versions, Optional.of(given));
    }
}
