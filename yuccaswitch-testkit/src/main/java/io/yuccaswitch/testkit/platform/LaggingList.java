package io.yuccaswitch.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.LongSupplier;

/** The list of VMs, which readers see only after a lag. */
final class LaggingList {

    /** The largest number of past lists that are kept. */
    private static final int MAXIMUM_LISTS = 1000;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The lists, the newest first. */
    private final Deque<Entry> entries = new ArrayDeque<>();

    /** The lag. */
    private Duration lag = Duration.ZERO;

    /**
     * Creates a list that is empty.
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
        if (entries.size() > MAXIMUM_LISTS) {
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
     * Returns the list as readers see it.
     *
     * @return The newest list that is older than the lag, or the first one if none is.
     */
    synchronized JsonNode visible() {
        long seen = clock.getAsLong() - lag.toNanos();
        for (Iterator<Entry> newestFirst = entries.iterator(); newestFirst.hasNext(); ) {
            Entry entry = newestFirst.next();
            if (entry.writtenAt() - seen <= 0) {
                return entry.list();
            }
        }
        return entries.isEmpty()
                ? JsonNodeFactory.instance.arrayNode()
                : entries.getLast().list();
    }

    /**
     * A list with the time at which it was written.
     *
     * @param list The list.
     * @param writtenAt The time in nanoseconds of the monotonic clock.
     */
    private record Entry(JsonNode list, long writtenAt) {}
}
