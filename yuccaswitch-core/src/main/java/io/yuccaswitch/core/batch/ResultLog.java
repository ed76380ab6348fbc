package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The results of a job that lie on the platform, in the order of their positions. It grows at its end only, by objects
 * with consecutive numbers.
 */
final class ResultLog {

    /** The largest size of the outputs in one answer, in bytes. Encoded, they stay below the megabyte of a page. */
    private static final long PAGE_BYTES = 600_000;

    /** The number of items of the job. */
    private final int total;

    /** The results that are known. */
    private final List<BatchResult> results = new ArrayList<>();

    /** The items whose results are known. */
    private final Set<String> items = new HashSet<>();

    /** The number of objects that are known. */
    private int objects;

    /** The size of the known outputs, in bytes. */
    private long bytes;

    /** The platform's version up to which the objects are known, or empty if they were never listed. */
    private OptionalLong version = OptionalLong.empty();

    /** When the log was last used. */
    private MonotonicTime usedAt;

    /**
     * Creates a log that knows no results.
     *
     * @param total The number of items of the job.
     * @param now The present.
     */
    ResultLog(int total, MonotonicTime now) {
        this.total = total;
        usedAt = now;
    }

    /**
     * Appends the results of the next object.
     *
     * @param appended The results.
     */
    void append(List<BatchResult> appended) {
        objects++;
        for (BatchResult result : appended) {
            results.add(result);
            items.add(result.item());
            bytes += result.output().size();
        }
    }

    /**
     * Takes listed or changed objects, as far as they are the next ones.
     *
     * @param listed The objects, in any order.
     * @param upTo The version up to which the objects are known thereby.
     * @param codec Reads the objects.
     * @return The results that were not known before.
     */
    List<BatchResult> take(List<StoredObject> listed, long upTo, BatchCodec codec) {
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
            if (!page.isEmpty() && size > PAGE_BYTES) {
                break;
            }
            page.add(result);
        }
        return new BatchAnswer.Results(total, position + page.size(), page);
    }

    /**
     * Returns whether an item's result is known.
     *
     * @param item The item.
     * @return {@code true} if it is.
     */
    boolean contains(String item) {
        return items.contains(item);
    }

    /**
     * Returns whether the results of all items are known.
     *
     * @return {@code true} if they are.
     */
    boolean isComplete() {
        return results.size() >= total;
    }

    /**
     * Returns the number of known results.
     *
     * @return The number.
     */
    int size() {
        return results.size();
    }

    /**
     * Returns the number of known objects, which is also the number of the next one.
     *
     * @return The number.
     */
    int objects() {
        return objects;
    }

    /**
     * Returns the size of the known outputs.
     *
     * @return The size in bytes.
     */
    long bytes() {
        return bytes;
    }

    /**
     * Returns the version up to which the objects are known.
     *
     * @return The version, or empty if they were never listed.
     */
    OptionalLong version() {
        return version;
    }

    /** Forgets up to which version the objects are known, such that they are listed anew. */
    void forgetVersion() {
        version = OptionalLong.empty();
    }

    /**
     * Notes that the log is used.
     *
     * @param now The present.
     */
    void use(MonotonicTime now) {
        usedAt = now;
    }

    /**
     * Returns when the log was last used.
     *
     * @return The time.
     */
    MonotonicTime usedAt() {
        return usedAt;
    }
}
