package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Copies of the texts that other nodes have in progress, held in memory by the node that would take their jobs over.
 * They save work and nothing else: a job without its copy is begun anew.
 */
final class TextCopies {

    /** How long the copies of a job are held after the last of them came: longer than any takeover takes. */
    private static final Duration MEMORY = Duration.ofSeconds(30);

    /** The largest size of all copies, in bytes. The job that was copied longest ago yields. */
    private static final long MAXIMUM_BYTES = 8L << 20;

    /** The copies, by job. */
    private final Map<BatchJobId, JobCopies> jobs = new HashMap<>();

    /** The jobs that run here and whose copies may be held by other nodes. */
    private final Set<BatchJobId> wanted = new LinkedHashSet<>();

    /**
     * Notes that a job was begun here that another node, or an earlier life of this one, ran before.
     *
     * @param id The job.
     */
    void want(BatchJobId id) {
        wanted.add(id);
    }

    /**
     * Returns the jobs whose copies are wanted, and forgets that they are.
     *
     * @return The jobs.
     */
    List<BatchJobId> takeWanted() {
        List<BatchJobId> taken = List.copyOf(wanted);
        wanted.clear();
        return taken;
    }

    /**
     * Takes a part of a text.
     *
     * @param id The job.
     * @param item The item.
     * @param after The identifier of the event behind which the part goes on, or 0 for a text from its beginning.
     * @param part The part, whose last event identifier is that of the whole text.
     * @param now The present.
     */
    void take(BatchJobId id, String item, long after, ItemText part, MonotonicTime now) {
        JobCopies copies = jobs.computeIfAbsent(id, _id -> new JobCopies());
        copies.at = now;
        ItemText known = copies.texts.getOrDefault(item, ItemText.EMPTY);
        if (after == 0) {
            copies.texts.put(item, part);
        } else if (after <= known.lastEventId() && part.lastEventId() > known.lastEventId()) {
            copies.texts.put(item, known.append(part.behind(known.lastEventId())));
        }
        trim(now);
    }

    /**
     * Returns the copies of a job.
     *
     * @param id The job.
     * @return The texts, by item.
     */
    Map<String, ItemText> find(BatchJobId id) {
        return Optional.ofNullable(jobs.get(id))
                .map(copies -> Map.copyOf(copies.texts))
                .orElseGet(Map::of);
    }

    /**
     * Forgets the copies of a job.
     *
     * @param id The job.
     */
    void forget(BatchJobId id) {
        jobs.remove(id);
    }

    /**
     * Forgets copies that are old, or too many.
     *
     * @param now The present.
     */
    private void trim(MonotonicTime now) {
        jobs.values().removeIf(copies -> now.since(copies.at).compareTo(MEMORY) > 0);
        while (jobs.size() > 1 && bytes() > MAXIMUM_BYTES) {
            jobs.entrySet().stream()
                    .min(Comparator.comparing(entry -> entry.getValue().at))
                    .map(Map.Entry::getKey)
                    .ifPresent(jobs::remove);
        }
    }

    /**
     * Returns the size of all copies.
     *
     * @return The size in bytes.
     */
    private long bytes() {
        return jobs.values().stream()
                .flatMap(copies -> copies.texts.values().stream())
                .flatMap(text -> text.events().stream())
                .mapToLong(event -> event.size())
                .sum();
    }

    /** The copies of one job. */
    private static final class JobCopies {

        /** The texts, by item. */
        private final Map<String, ItemText> texts = new HashMap<>();

        /** When the last part came. */
        private MonotonicTime at = new MonotonicTime(0);
    }
}
