package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * This node's copy of the index of batch jobs. It may be slightly stale: the platform checks the version when a job is
 * claimed or ended.
 */
final class BatchIndex {

    /** Supplies the entries. */
    private final KindFeed feed;

    /** Decodes entries. */
    private final BatchCodec codec;

    /** The entries. */
    private final EntityTable<BatchJobId, Row> rows = new EntityTable<>();

    /** The jobs that have not been ended. */
    private final Set<BatchJobId> open = new HashSet<>();

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
            return Optional.empty();
        }
        Optional<Row> row = codec.readEntry(object.value()).map(entry -> new Row(entry, object.version()));
        row.ifPresent(found -> {
            rows.put(id, found);
            if (found.entry().ended()) {
                open.remove(id);
            } else {
                open.add(id);
            }
        });
        return row;
    }

    /**
     * An entry.
     *
     * @param entry The content of the entry.
     * @param version The version of its object.
     */
    record Row(BatchIndexEntry entry, long version) {}
}
