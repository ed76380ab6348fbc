package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.ObjectFilter;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** This node's copy of the objects of one kind, with the latest changes, which it serves to followers. */
final class KindReplica {

    /**
     * The maximum number of deletions, and of objects that need not be held, that are retained. A follower that lacks
     * an older one gets all objects again.
     */
    private static final int MAXIMUM_RETAINED_REMOVALS = 500;

    /** Selects the objects that have to be held. */
    private final ObjectFilter filter;

    /** The objects and the retained deletions, by name. */
    private final Map<String, StoredObject> objects = new HashMap<>();

    /** The version up to which this copy includes all changes. */
    private long version = WatchMessage.UNKNOWN_VERSION;

    /** The version of the latest change, or that of the latest list of all objects. */
    private long changedAt = WatchMessage.UNKNOWN_VERSION;

    /** The version after which all deletions, and all objects that need not be held, are retained. */
    private long removalsRetainedAfter = Long.MAX_VALUE;

    /** The names of the retained deletions and of the objects that need not be held, the latest change last. */
    private final Set<String> removals = new LinkedHashSet<>();

    /**
     * Creates a copy without objects.
     *
     * @param filter Selects the objects that have to be held.
     */
    KindReplica(ObjectFilter filter) {
        this.filter = filter;
    }

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
            removals.clear();
            removalsRetainedAfter = upTo;
            changedAt = upTo;
        }
        changes.objects().forEach(this::put);
        version = Math.max(version, upTo);
        while (removals.size() > MAXIMUM_RETAINED_REMOVALS) {
            forgetOldestRemoval();
        }
    }

    /** Removes the oldest deletion or object that need not be held. */
    private void forgetOldestRemoval() {
        String name = removals.iterator().next();
        removals.remove(name);
        StoredObject removed = objects.remove(name);
        removalsRetainedAfter = Math.max(removalsRetainedAfter, removed.version());
    }

    /**
     * Returns the update for a node that has all changes up to a version.
     *
     * @param afterVersion The version.
     * @return The changes after the version, or all objects if some removals since then are no longer retained.
     */
    KindFeed.Changes changesAfter(long afterVersion) {
        boolean complete = afterVersion < removalsRetainedAfter;
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
        String name = object.key().name();
        objects.put(name, object);
        changedAt = Math.max(changedAt, object.version());
        removals.remove(name);
        if (object.deleted() || !filter.retains(object)) {
            removals.add(name);
        }
    }
}
