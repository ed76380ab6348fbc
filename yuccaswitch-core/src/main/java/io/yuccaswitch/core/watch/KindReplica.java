package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The objects of one kind as this node knows them, with their latest changes, such that other nodes can follow. */
final class KindReplica {

    /** The number of deleted objects that are remembered. Beyond it, those who follow get all objects anew. */
    private static final int REMEMBERED_DELETIONS = 500;

    /** The objects and the deletions, by name. */
    private final Map<String, StoredObject> objects = new HashMap<>();

    /** The version up to which all changes are known. */
    private long version = WatchMessage.UNKNOWN_VERSION;

    /** The version of the latest change, or that of the latest list of all objects. */
    private long changedAt = WatchMessage.UNKNOWN_VERSION;

    /** The version behind which all deletions are remembered. */
    private long rememberedSince = Long.MAX_VALUE;

    /** The number of deletions that are remembered. */
    private int deletions;

    /**
     * Returns the version up to which all changes are known.
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
     * Returns whether there is something new for a node that knows all changes up to a version.
     *
     * @param known The version.
     * @return {@code true} if there is.
     */
    boolean hasNewsBehind(long known) {
        return changedAt > known;
    }

    /**
     * Takes objects or their changes.
     *
     * @param news The objects.
     * @param upTo The version up to which all changes are known with them.
     */
    void take(KindFeed.News news, long upTo) {
        if (news.complete()) {
            objects.clear();
            deletions = 0;
            rememberedSince = upTo;
            changedAt = upTo;
        }
        news.objects().forEach(this::put);
        version = Math.max(version, upTo);
        if (deletions > REMEMBERED_DELETIONS) {
            objects.values().removeIf(StoredObject::deleted);
            deletions = 0;
            rememberedSince = version;
        }
    }

    /**
     * Returns what brings a node up to date that knows all changes up to a version.
     *
     * @param known The version.
     * @return The changes behind the version, or all objects if some changes since then are not remembered.
     */
    KindFeed.News behind(long known) {
        boolean complete = known < rememberedSince;
        List<StoredObject> wanted = objects.values().stream()
                .filter(object -> complete ? !object.deleted() : object.version() > known)
                .sorted(Comparator.comparingLong(StoredObject::version))
                .toList();
        return new KindFeed.News(wanted, complete);
    }

    /**
     * Takes an object as it is now.
     *
     * @param object The object.
     */
    private void put(StoredObject object) {
        StoredObject before = objects.put(object.key().name(), object);
        changedAt = Math.max(changedAt, object.version());
        deletions += (object.deleted() ? 1 : 0) - (before != null && before.deleted() ? 1 : 0);
    }
}
