package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * A copy of the results of a job that are listed on the platform, in the order of their positions. The log is
 * append-only and consists of objects with consecutive numbers.
 */
final class ResultLog {

    /**
     * The maximum size of the outputs in one answer, in bytes. Encoded, they stay below the limit of one megabyte for a
     * page.
     */
    private static final long MAXIMUM_PAGE_BYTES = 600_000;

    /** The job. */
    private final BatchJobId id;

    /** The number of items of the job. */
    private final int total;

    /** The results read so far. */
    private final List<BatchResult> results = new ArrayList<>();

    /** The items whose results have been read. */
    private final Set<String> items = new HashSet<>();

    /** The items that were abandoned. */
    private final Set<String> abandoned = new HashSet<>();

    /** The items that were appended although the log already contained them, by the number of the later object. */
    private final Map<Integer, List<RepeatedItem>> repeated = new TreeMap<>();

    /** The number of objects read so far. */
    private int objects;

    /** The size of the outputs read so far, in bytes. */
    private long bytes;

    /** The platform version up to which the objects have been read, or empty if they were never listed. */
    private OptionalLong version = OptionalLong.empty();

    /** When the log was last used. */
    private MonotonicTime lastUsedAt;

    /**
     * Creates an empty log.
     *
     * @param id The job.
     * @param total The number of items of the job.
     * @param now The current time.
     */
    ResultLog(BatchJobId id, int total, MonotonicTime now) {
        this.id = id;
        this.total = total;
        lastUsedAt = now;
    }

    /**
     * Appends the results of the next object.
     *
     * @param appended The results.
     */
    void append(List<BatchResult> appended) {
        objects++;
        for (BatchResult result : appended) {
            if (!items.add(result.item())) {
                repeated.computeIfAbsent(objects - 1, _object -> new ArrayList<>())
                        .add(new RepeatedItem(result.item(), results.size(), position(result.item())));
            }
            results.add(result);
            if (!result.completed()) {
                abandoned.add(result.item());
            }
            bytes += result.output().size();
        }
    }

    /**
     * Appends listed or changed objects that directly follow the ones read so far.
     *
     * @param listed The objects, in any order.
     * @param upTo The version up to which the objects have then been read.
     * @param codec Decodes the objects.
     * @return The results that were appended.
     */
    List<BatchResult> apply(List<StoredObject> listed, long upTo, BatchCodec codec) {
        int before = results.size();
        List<StoredObject> ordered = new ArrayList<>(listed);
        ordered.sort(java.util.Comparator.comparing(object -> object.key().name()));
        for (StoredObject object : ordered) {
            OptionalInt number = BatchObjects.number(object.key().name());
            Optional<List<BatchResult>> read = codec.readResults(object.value());
            if (number.isPresent() && number.getAsInt() == objects && read.isPresent()) {
                append(read.get());
            }
        }
        version = OptionalLong.of(upTo);
        return List.copyOf(results.subList(before, results.size()));
    }

    /**
     * Returns the first position of an item.
     *
     * @param item The item, whose result the log contains.
     * @return The position.
     */
    private int position(String item) {
        int position = 0;
        while (!results.get(position).item().equals(item)) {
            position++;
        }
        return position;
    }

    /**
     * Removes and returns the items that were appended although the log already contained them.
     *
     * @return The items by the number of the later object, in the order of the numbers.
     */
    Map<Integer, List<RepeatedItem>> takeRepeated() {
        Map<Integer, List<RepeatedItem>> taken = new TreeMap<>(repeated);
        repeated.clear();
        return taken;
    }

    /**
     * Returns the job.
     *
     * @return The job's identifier.
     */
    BatchJobId id() {
        return id;
    }

    /**
     * Returns one page of results.
     *
     * @param position The position of the first result.
     * @return The page, with at least one result if there is one at the position.
     */
    BatchAnswer.Results page(int position) {
        List<BatchResult> page = new ArrayList<>();
        long size = 0;
        for (int i = position; i < results.size(); i++) {
            BatchResult result = results.get(i);
            size += result.output().size();
            if (!page.isEmpty() && size > MAXIMUM_PAGE_BYTES) {
                break;
            }
            page.add(result);
        }
        return new BatchAnswer.Results(total, position + page.size(), page);
    }

    /**
     * Returns whether the log contains an item's result.
     *
     * @param item The item.
     * @return {@code true} if it does.
     */
    boolean contains(String item) {
        return items.contains(item);
    }

    /**
     * Returns whether an item was abandoned.
     *
     * @param item The item's identifier.
     * @return {@code true} if its result is listed and not complete.
     */
    boolean isAbandoned(String item) {
        return abandoned.contains(item);
    }

    /**
     * Returns whether the log contains the results of all items.
     *
     * @return {@code true} if it does.
     */
    boolean isComplete() {
        return items.size() >= total;
    }

    /**
     * Returns the number of results.
     *
     * @return The number.
     */
    int size() {
        return results.size();
    }

    /**
     * Returns the number of objects, which is also the number of the next one.
     *
     * @return The number.
     */
    int objects() {
        return objects;
    }

    /**
     * Returns the size of the outputs.
     *
     * @return The size in bytes.
     */
    long bytes() {
        return bytes;
    }

    /**
     * Returns the version up to which the objects have been read.
     *
     * @return The version, or empty if they were never listed.
     */
    OptionalLong version() {
        return version;
    }

    /** Clears the version up to which the objects have been read, so that they are listed again. */
    void clearVersion() {
        version = OptionalLong.empty();
    }

    /**
     * Records that the log is used.
     *
     * @param now The current time.
     */
    void touch(MonotonicTime now) {
        lastUsedAt = now;
    }

    /**
     * Returns when the log was last used.
     *
     * @return The time.
     */
    MonotonicTime lastUsedAt() {
        return lastUsedAt;
    }
}
