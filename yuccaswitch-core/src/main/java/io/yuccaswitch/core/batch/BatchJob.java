package io.yuccaswitch.core.batch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A batch job as it was submitted.
 *
 * @param id The identifier.
 * @param host The host of its route.
 * @param path The path under which it was submitted, which selects its route.
 * @param model The model whose weights generate its results.
 * @param minimumVersion The minimum version of the weights that may generate its results.
 * @param submittedAt When it was first submitted, in milliseconds since the epoch.
 * @param items The items.
 * @param wantedGroups The number of complete groups after which the trainer ends the job, if it specified one.
 * @param configurationVersion The version of the route configuration under which it was accepted, or
 *     {@link #UNKNOWN_CONFIGURATION}.
 */
public record BatchJob(
        BatchJobId id,
        String host,
        String path,
        String model,
        long minimumVersion,
        long submittedAt,
        List<BatchItem> items,
        OptionalInt wantedGroups,
        long configurationVersion) {

    /** The configuration version of a job that was accepted by a node of a release that did not state it. */
    public static final long UNKNOWN_CONFIGURATION = 0;

    /** Copies the items and validates that their identifiers are unique. */
    public BatchJob {
        items = List.copyOf(items);
        Set<String> seen = new HashSet<>();
        for (BatchItem item : items) {
            if (!seen.add(item.id())) {
                throw new IllegalArgumentException("duplicate item id '" + item.id() + "'");
            }
        }
    }

    /**
     * Creates a job of which all groups are wanted, without the version of its configuration.
     *
     * @param id The identifier.
     * @param host The host of its route.
     * @param path The path under which it was submitted, which selects its route.
     * @param model The model whose weights generate its results.
     * @param minimumVersion The minimum version of the weights that may generate its results.
     * @param submittedAt When it was first submitted, in milliseconds since the epoch.
     * @param items The items.
     */
    public BatchJob(
            BatchJobId id,
            String host,
            String path,
            String model,
            long minimumVersion,
            long submittedAt,
            List<BatchItem> items) {
        this(id, host, path, model, minimumVersion, submittedAt, items, OptionalInt.empty(), UNKNOWN_CONFIGURATION);
    }

    /**
     * Finds an item.
     *
     * @param item The item's identifier.
     * @return The item, or empty if the job has none with that identifier.
     */
    public Optional<BatchItem> find(String item) {
        return items.stream().filter(candidate -> candidate.id().equals(item)).findFirst();
    }

    /**
     * Returns whether another job has the same model, minimum version and item identifiers.
     *
     * @param other The other job.
     * @return {@code true} if it does.
     */
    public boolean hasSameContent(BatchJob other) {
        return model.equals(other.model)
                && minimumVersion == other.minimumVersion
                && items.stream()
                        .map(BatchItem::id)
                        .toList()
                        .equals(other.items.stream().map(BatchItem::id).toList());
    }
}
