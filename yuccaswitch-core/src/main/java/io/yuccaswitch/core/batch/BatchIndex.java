package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.ObjectFilter;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * This node's copy of the index of batch jobs: all open ones, and those that ended recently. It may be slightly stale:
 * the platform checks the version when a job is claimed or ended. The entries of other jobs are read from the platform.
 */
final class BatchIndex {

    /**
     * The maximum number of ended jobs whose entries are held. Their entries remain on the platform, where they may be
     * too many for the memory of a node.
     */
    private static final int MAXIMUM_ENDED_JOBS = 1000;

    /** Supplies the entries. */
    private final KindFeed feed;

    /** Decodes entries. */
    private final BatchCodec codec;

    /** The entries. */
    private final EntityTable<BatchJobId, Row> rows = new EntityTable<>();

    /** The jobs that have not been ended. */
    private final Set<BatchJobId> open = new HashSet<>();

    /** The ended jobs whose entries are held, the one that changed last at the end. */
    private final Set<BatchJobId> ended = new LinkedHashSet<>();

    /**
     * Creates an empty index.
     *
     * @param feed Supplies the entries.
     * @param codec Decodes entries.
     */
    BatchIndex(KindFeed feed, BatchCodec codec) {
        this.feed = feed;
        this.codec = codec;
    }

    /**
     * Creates the filter that omits the entries of ended jobs. An entry that can't be read is retained.
     *
     * @param codec Decodes entries.
     * @return The filter.
     */
    static ObjectFilter openJobs(BatchCodec codec) {
        return object ->
                codec.readEntry(object.value()).filter(BatchIndexEntry::ended).isEmpty();
    }

    /**
     * Applies changes.
     *
     * @param tick The tick.
     * @return The entries that changed.
     */
    List<Row> run(Tick tick) {
        Optional<KindFeed.Changes> update = feed.run(tick);
        if (update.isEmpty()) {
            return List.of();
        }
        if (update.get().complete()) {
            rows.removeIf(_row -> true);
            open.clear();
            ended.clear();
        }
        List<Row> changed = new ArrayList<>();
        for (StoredObject object : update.get().objects()) {
            apply(object).ifPresent(changed::add);
        }
        return changed;
    }

    /**
     * Finds a job.
     *
     * @param id The job.
     * @return Its entry, or empty if this node has none.
     */
    Optional<Row> find(BatchJobId id) {
        return rows.find(id);
    }

    /**
     * Returns the jobs that are not ended.
     *
     * @return Their entries.
     */
    List<Row> open() {
        return open.stream().flatMap(id -> rows.find(id).stream()).toList();
    }

    /**
     * Applies the current state of an entry.
     *
     * @param object The entry's object.
     * @return The entry, or empty if it was removed or can't be read.
     */
    private Optional<Row> apply(StoredObject object) {
        BatchJobId id = new BatchJobId(object.key().name());
        if (object.deleted()) {
            rows.remove(id);
            open.remove(id);
            ended.remove(id);
            return Optional.empty();
        }
        Optional<Row> row = codec.readEntry(object.value()).map(entry -> new Row(entry, object.version()));
        row.ifPresent(found -> {
            rows.put(id, found);
            ended.remove(id);
            if (found.entry().ended()) {
                open.remove(id);
                ended.add(id);
                forgetOldestEnded();
            } else {
                open.add(id);
            }
        });
        return row;
    }

    /** Removes the entry of the job that ended first, if there are too many. */
    private void forgetOldestEnded() {
        if (ended.size() > MAXIMUM_ENDED_JOBS) {
            BatchJobId oldest = ended.iterator().next();
            ended.remove(oldest);
            rows.remove(oldest);
        }
    }

    /**
     * An entry.
     *
     * @param entry The content of the entry.
     * @param version The version of its object.
     */
    record Row(BatchIndexEntry entry, long version) {}
}
