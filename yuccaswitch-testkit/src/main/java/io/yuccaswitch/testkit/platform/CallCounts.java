package io.yuccaswitch.testkit.platform;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Counts of calls by kind of call, kind of object and status, and over time. */
final class CallCounts {

    /** The length of a time slot. */
    private static final Duration SLOT = Duration.ofMillis(100);

    /** The largest number of time slots that are kept. */
    private static final int MAXIMUM_SLOTS = 6000;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The start of the first time slot. */
    private long origin;

    /** The calls by kind of call and of object, as they arrived. */
    private final TreeMap<String, Long> arrived = new TreeMap<>();

    /** The calls by status. */
    private final TreeMap<String, Long> answered = new TreeMap<>();

    /** The arrivals by time slot. */
    private final TreeMap<Long, Long> slots = new TreeMap<>();

    /**
     * Creates counts of nothing.
     *
     * @param clock The monotonic clock in nanoseconds.
     */
    CallCounts(LongSupplier clock) {
        this.clock = clock;
        origin = clock.getAsLong();
    }

    /**
     * Counts a call that arrived, whatever becomes of it.
     *
     * @param call The kind of call.
     * @param objectKind The kind of object, or an empty text.
     */
    synchronized void arrived(CallKind call, String objectKind) {
        arrived.merge(objectKind.isEmpty() ? call.label() : call.label() + " " + objectKind, 1L, Long::sum);
        slots.merge((clock.getAsLong() - origin) / SLOT.toNanos(), 1L, Long::sum);
        if (slots.size() > MAXIMUM_SLOTS) {
            slots.pollFirstEntry();
        }
    }

    /**
     * Counts the outcome of a call.
     *
     * @param call The kind of call.
     * @param outcome The status, or a word if no answer was sent.
     */
    synchronized void answered(CallKind call, String outcome) {
        answered.merge(call.label() + " " + outcome, 1L, Long::sum);
    }

    /** Starts all counts anew. */
    synchronized void reset() {
        arrived.clear();
        answered.clear();
        slots.clear();
        origin = clock.getAsLong();
    }

    /**
     * Returns the counts.
     *
     * @return A copy of the counts.
     */
    synchronized Snapshot snapshot() {
        long total = arrived.values().stream().mapToLong(Long::longValue).sum();
        long elapsed = Duration.ofNanos(clock.getAsLong() - origin).toMillis();
        return new Snapshot(total, elapsed, Map.copyOf(arrived), Map.copyOf(answered), new TreeMap<>(slots));
    }

    /**
     * Counts at one moment.
     *
     * @param total The number of calls that arrived.
     * @param elapsedMillis The time since counting started.
     * @param arrived The calls by kind of call and of object.
     * @param answered The calls by kind of call and outcome.
     * @param tenthsOfSecond The arrivals by tenths of a second since counting started.
     */
    record Snapshot(
            long total,
            long elapsedMillis,
            Map<String, Long> arrived,
            Map<String, Long> answered,
            Map<Long, Long> tenthsOfSecond) {}
}
