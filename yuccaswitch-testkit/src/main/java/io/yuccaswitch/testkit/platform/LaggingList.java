package io.yuccaswitch.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.LongSupplier;

/** The list of VMs, whose changes become visible to readers after a lag. */
final class LaggingList {

    /** The maximum number of retained versions of the list. */
    private static final int MAXIMUM_VERSIONS = 1000;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The versions of the list, newest first. */
    private final Deque<Entry> entries = new ArrayDeque<>();

    /** The lag. */
    private Duration lag = Duration.ZERO;

    /**
     * Creates an empty list.
     *
     * @param clock The monotonic clock in nanoseconds.
     */
    LaggingList(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * Replaces the list.
     *
     * @param list The new list.
     */
    synchronized void replace(JsonNode list) {
        entries.addFirst(new Entry(list, clock.getAsLong()));
        if (entries.size() > MAXIMUM_VERSIONS) {
            entries.removeLast();
        }
    }

    /**
     * Changes the lag.
     *
     * @param newLag The new lag.
     */
    synchronized void changeLag(Duration newLag) {
        lag = newLag;
    }

    /**
     * Returns the version of the list that is visible to readers.
     *
     * @return The newest version that is at least as old as the lag, or the oldest version if there is none.
     */
    synchronized JsonNode visible() {
        long visibleUntil = clock.getAsLong() - lag.toNanos();
        for (Iterator<Entry> newestFirst = entries.iterator(); newestFirst.hasNext(); ) {
            Entry entry = newestFirst.next();
            if (entry.writtenAt() - visibleUntil <= 0) {
                return entry.list();
            }
        }
        return entries.isEmpty()
                ? JsonNodeFactory.instance.arrayNode()
                : entries.getLast().list();
    }

    /**
     * A version of the list with the time at which it was written.
     *
     * @param list The list.
     * @param writtenAt The time in nanoseconds of the monotonic clock.
     */
    private record Entry(JsonNode list, long writtenAt) {}
}
