package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.value.Bytes;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The events of an item's output received so far.
 *
 * @param lastEventId The identifier of the last event, or 0 before the first.
 * @param events The data of the events, in order.
 * @param versions All versions of the weights that generated an event, in ascending order.
 */
public record ItemText(long lastEventId, List<Bytes> events, List<Long> versions) {

    /** The text before the first event. */
    public static final ItemText EMPTY = new ItemText(0, List.of(), List.of());

    /** Copies the lists. */
    public ItemText {
        events = List.copyOf(events);
        versions = List.copyOf(versions);
    }

    /**
     * Returns whether there is no event yet.
     *
     * @return {@code true} if there is none.
     */
    public boolean isEmpty() {
        return events.isEmpty();
    }

    /**
     * Appends the events of an attempt that resumed after this text.
     *
     * @param continuation The events of that attempt.
     * @return The joined text.
     */
    public ItemText append(ItemText continuation) {
        if (continuation.isEmpty()) {
            return this;
        }
        List<Bytes> joined = new ArrayList<>(events);
        joined.addAll(continuation.events);
        TreeSet<Long> all = new TreeSet<>(versions);
        all.addAll(continuation.versions);
        return new ItemText(continuation.lastEventId, joined, List.copyOf(all));
    }

    /**
     * Returns the events after a given event of this text.
     *
     * @param eventId The identifier of that event.
     * @return The remaining events, with all versions of this text.
     */
    ItemText eventsAfter(long eventId) {
        long rest = Math.min(events.size(), Math.max(0, lastEventId - eventId));
        return new ItemText(lastEventId, events.subList((int) (events.size() - rest), events.size()), versions);
    }

    /**
     * Returns the output of an item whose text is complete.
     *
     * @return The data of all events, separated by line feeds.
     */
    Bytes output() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        for (int i = 0; i < events.size(); i++) {
            if (i > 0) {
                output.write('\n');
            }
            output.writeBytes(events.get(i).unsafeArray());
        }
        return Bytes.wrap(output.toByteArray());
    }
}
