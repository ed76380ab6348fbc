package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** This node's copy of the objects of one kind, with the latest changes, which it serves to followers. */
final class KindReplica {

    /** The maximum number of deletions that are retained. Beyond it, followers get all objects again. */
    private static final int MAXIMUM_RETAINED_DELETIONS = 500;

    /** The objects and the retained deletions, by name. */
    private final Map<String, StoredObject> objects = new HashMap<>();

    /** The version up to which this copy includes all changes. */
    private long version = WatchMessage.UNKNOWN_VERSION;

    /** The version of the latest change, or that of the latest list of all objects. */
    private long changedAt = WatchMessage.UNKNOWN_VERSION;

    /** The version after which all deletions are retained. */
    private long deletionsRetainedAfter = Long.MAX_VALUE;

    /** The number of retained deletions. */
    private int deletions;

    /**
     * Returns the version up to which this copy includes all changes.
     *
     * @return The version, or {@link WatchMessage#UNKNOWN_VERSION}.
     */
    long version() {
        return version;
    }

    /**
     * Returns the version of the latest change, or that of the latest list of all objects.
     *
     * @return The version, or {@link WatchMessage#UNKNOWN_VERSION}.
     */
    long changedAt() {
        return changedAt;
    }

    /**
     * Returns whether there are changes after a version.
     *
     * @param afterVersion The version.
     * @return {@code true} if there are.
     */
    boolean hasChangesAfter(long afterVersion) {
        return changedAt > afterVersion;
    }

    /**
     * Applies a list of all objects, or changes.
     *
     * @param changes All objects, or the changed ones.
     * @param upTo The version up to which this update is complete.
     */
    void apply(KindFeed.Changes changes, long upTo) {
        if (changes.complete()) {
            objects.clear();
            deletions = 0;
            deletionsRetainedAfter = upTo;
            changedAt = upTo;
        }
        changes.objects().forEach(this::put);
        version = Math.max(version, upTo);
        if (deletions > MAXIMUM_RETAINED_DELETIONS) {
            objects.values().removeIf(StoredObject::deleted);
            deletions = 0;
            deletionsRetainedAfter = version;
        }
    }

    /**
     * Returns the update for a node that has all changes up to a version.
     *
     * @param afterVersion The version.
     * @return The changes after the version, or all objects if some deletions since then are no longer retained.
     */
    KindFeed.Changes changesAfter(long afterVersion) {
        boolean complete = afterVersion < deletionsRetainedAfter;
        List<StoredObject> wanted = objects.values().stream()
                .filter(object -> complete ? !object.deleted() : object.version() > afterVersion)
                .sorted(Comparator.comparingLong(StoredObject::version))
                .toList();
        return new KindFeed.Changes(wanted, complete);
    }

    /**
     * Stores the current state of an object.
     *
     * @param object The object.
     */
    private void put(StoredObject object) {
        StoredObject before = objects.put(object.key().name(), object);
        changedAt = Math.max(changedAt, object.version());
        deletions += (object.deleted() ? 1 : 0) - (before != null && before.deleted() ? 1 : 0);
    }
}
