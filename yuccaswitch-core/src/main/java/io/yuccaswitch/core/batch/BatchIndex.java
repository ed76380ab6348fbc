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
 * The index of batch jobs as this node knows it. It may be a moment old: a claim or an end is checked by the platform.
 */
final class BatchIndex {

    /** Brings the entries. */
    private final KindFeed feed;

    /** Reads entries. */
    private final BatchCodec codec;

    /** The entries. */
    private final EntityTable<BatchJobId, Row> rows = new EntityTable<>();

    /** The jobs that are not ended. */
    private final Set<BatchJobId> open = new HashSet<>();

    /**
     * Creates an index that knows no jobs.
     *
     * @param feed Brings the entries.
     * @param codec Reads entries.
     */
    BatchIndex(KindFeed feed, BatchCodec codec) {
        this.feed = feed;
        this.codec = codec;
    }

    /**
     * Takes what is new.
     *
     * @param tick The tick.
     * @return The entries that changed.
     */
    List<Row> run(Tick tick) {
        Optional<KindFeed.News> news = feed.run(tick);
        if (news.isEmpty()) {
            return List.of();
        }
        if (news.get().complete()) {
            rows.removeIf(_row -> true);
            open.clear();
        }
        List<Row> changed = new ArrayList<>();
        for (StoredObject object : news.get().objects()) {
            take(object).ifPresent(changed::add);
        }
        return changed;
    }

    /**
     * Finds a job.
     *
     * @param id The job.
     * @return Its entry, or empty if it is not known here.
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
     * Takes an entry as it is now.
     *
     * @param object The entry's object.
     * @return The entry, or empty if it was removed or can't be read.
     */
    private Optional<Row> take(StoredObject object) {
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
     * @param entry What it says.
     * @param version The version of its object.
     */
    record Row(BatchIndexEntry entry, long version) {}
}
