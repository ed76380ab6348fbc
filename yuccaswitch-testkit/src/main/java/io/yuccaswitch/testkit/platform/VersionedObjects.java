package io.yuccaswitch.testkit.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import okio.ByteString;

/**
 * A store of versioned objects. Each write of any object increments the common version by one. Past revisions are
 * retained for some time, so that reads can be answered as by a lagging replica.
 */
final class VersionedObjects {

    /** The time for which changes are retained for watches and lagging reads. */
    private static final Duration RETENTION = Duration.ofMinutes(2);

    /** The maximum number of retained changes. */
    private static final int MAXIMUM_CHANGES = 50_000;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The revisions of each object, newest first. */
    private final Map<String, Deque<Revision>> objects = new HashMap<>();

    /** The recent changes of all objects, oldest first. */
    private final Deque<Revision> log = new ArrayDeque<>();

    /** The version of the newest write. */
    private long version;

    /** The version up to which changes were removed from the log. */
    private long compactedVersion;

    /**
     * Creates an empty store.
     *
     * @param clock The monotonic clock in nanoseconds.
     */
    VersionedObjects(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * Writes an object if the condition holds.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @param expected The version that the object must have, or empty if it must not exist.
     * @param value The value to write.
     * @return The result.
     */
    synchronized WriteResult write(String kind, String name, OptionalLong expected, ByteString value) {
        Optional<Revision> current = current(kind, name);
        if (!expected.equals(versionOf(current))) {
            return new WriteResult.Refused(current);
        }
        return append(kind, name, value, false);
    }

    /**
     * Deletes an object if the condition holds.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @param expected The version that the object must have.
     * @return The result.
     */
    synchronized WriteResult delete(String kind, String name, long expected) {
        Optional<Revision> current = current(kind, name);
        if (!OptionalLong.of(expected).equals(versionOf(current))) {
            return new WriteResult.Refused(current);
        }
        return append(kind, name, ByteString.EMPTY, true);
    }

    /**
     * Reads an object.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @param lag The lag of the answering replica.
     * @return The object as visible at the replica, or empty if it does not exist there.
     */
    synchronized Optional<Revision> read(String kind, String name, Duration lag) {
        return visible(objects.getOrDefault(key(kind, name), new ArrayDeque<>()), visibleVersion(lag));
    }

    /**
     * Lists the objects of a kind.
     *
     * @param kind The kind.
     * @param lag The lag of the answering replica.
     * @return The objects as visible at the replica.
     */
    synchronized Changes list(String kind, Duration lag) {
        long upTo = visibleVersion(lag);
        List<Revision> found = new ArrayList<>();
        for (Deque<Revision> revisions : objects.values()) {
            visible(revisions, upTo)
                    .filter(revision -> revision.kind().equals(kind))
                    .ifPresent(found::add);
        }
        found.sort(Comparator.comparingLong(Revision::version));
        return new Changes(upTo, false, found);
    }

    /**
     * Returns the changes of a kind after a version, with only the newest change of each object.
     *
     * @param kind The kind.
     * @param after The version after which changes are returned.
     * @param lag The lag of the answering replica.
     * @return The changes.
     */
    synchronized Changes changes(String kind, long after, Duration lag) {
        long upTo = visibleVersion(lag);
        if (after < compactedVersion || after > version) {
            return new Changes(upTo, true, List.of());
        }
        Map<String, Revision> newest = new HashMap<>();
        for (Revision revision : log) {
            if (revision.kind().equals(kind) && revision.version() > after && revision.version() <= upTo) {
                newest.put(revision.name(), revision);
            }
        }
        List<Revision> changed = new ArrayList<>(newest.values());
        changed.sort(Comparator.comparingLong(Revision::version));
        return new Changes(Math.max(after, upTo), false, changed);
    }

    /** Discards all changes for watches, so that each watch from an older version is reset. */
    synchronized void forgetChanges() {
        log.clear();
        compactedVersion = version;
    }

    /**
     * Appends a revision.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @param value The value.
     * @param deleted Whether the object is deleted.
     * @return The result.
     */
    private WriteResult append(String kind, String name, ByteString value, boolean deleted) {
        version++;
        Revision revision = new Revision(kind, name, version, value, deleted, clock.getAsLong());
        Deque<Revision> revisions = objects.computeIfAbsent(key(kind, name), _key -> new ArrayDeque<>());
        revisions.addFirst(revision);
        trim(revisions);
        log.addLast(revision);
        while (log.size() > MAXIMUM_CHANGES || isExpired(log.getFirst())) {
            compactedVersion = log.removeFirst().version();
        }
        return new WriteResult.Applied(version);
    }

    /**
     * Removes the expired revisions of an object, except for the newest of them, which a lagging replica may still
     * return.
     *
     * @param revisions The revisions, newest first.
     */
    private void trim(Deque<Revision> revisions) {
        boolean expiredSeen = false;
        for (Iterator<Revision> iterator = revisions.iterator(); iterator.hasNext(); ) {
            Revision revision = iterator.next();
            if (expiredSeen) {
                iterator.remove();
            }
            expiredSeen = expiredSeen || isExpired(revision);
        }
    }

    /**
     * Returns whether the retention of a revision has expired.
     *
     * @param revision The revision.
     * @return {@code true} if the retention has expired.
     */
    private boolean isExpired(Revision revision) {
        return clock.getAsLong() - revision.writtenAt() > RETENTION.toNanos();
    }

    /**
     * Returns the newest version that is visible at a replica.
     *
     * @param lag The lag of the replica.
     * @return The version.
     */
    private long visibleVersion(Duration lag) {
        if (lag.isZero()) {
            return version;
        }
        long visibleUntil = clock.getAsLong() - lag.toNanos();
        for (Iterator<Revision> newestFirst = log.descendingIterator(); newestFirst.hasNext(); ) {
            Revision revision = newestFirst.next();
            if (revision.writtenAt() - visibleUntil <= 0) {
                return revision.version();
            }
        }
        return compactedVersion;
    }

    /**
     * Returns the current state of an object.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @return The object, or empty if it does not exist.
     */
    private Optional<Revision> current(String kind, String name) {
        return read(kind, name, Duration.ZERO);
    }

    /**
     * Returns the newest revision up to a version.
     *
     * @param revisions The revisions of an object, newest first.
     * @param upTo The newest version that is visible.
     * @return The revision, or empty if the object did not exist at that version.
     */
    private static Optional<Revision> visible(Deque<Revision> revisions, long upTo) {
        return revisions.stream()
                .filter(revision -> revision.version() <= upTo)
                .findFirst()
                .filter(revision -> !revision.deleted());
    }

    /**
     * Returns the version of an object.
     *
     * @param revision The object, or empty if it does not exist.
     * @return The version, or empty if it does not exist.
     */
    private static OptionalLong versionOf(Optional<Revision> revision) {
        return revision.stream().mapToLong(Revision::version).findFirst();
    }

    /**
     * Combines a kind and a name into a key.
     *
     * @param kind The kind, which contains no slash.
     * @param name The name.
     * @return The key.
     */
    private static String key(String kind, String name) {
        return kind + "/" + name;
    }
}
