package io.yuccaswitch.testkit.platform;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Counts of calls by kind of call, kind of object and status, and over time. */
final class CallCounts {

    /** The length of a time slot. */
    private static final Duration SLOT_LENGTH = Duration.ofMillis(100);

    /** The maximum number of retained time slots. */
    private static final int MAXIMUM_SLOTS = 6000;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The start of the first time slot, in nanoseconds of the monotonic clock. */
    private long origin;

    /** The received calls by kind of call and kind of object. */
    private final TreeMap<String, Long> arrived = new TreeMap<>();

    /** The calls by kind of call and outcome. */
    private final TreeMap<String, Long> answered = new TreeMap<>();

    /** The arrivals by time slot. */
    private final TreeMap<Long, Long> slots = new TreeMap<>();

    /**
     * Creates empty counts.
     *
     * @param clock The monotonic clock in nanoseconds.
     */
    CallCounts(LongSupplier clock) {
        this.clock = clock;
        origin = clock.getAsLong();
    }

    /**
     * Counts a received call, independently of its outcome.
     *
     * @param call The kind of call.
     * @param objectKind The kind of object, or an empty string.
     */
    synchronized void arrived(CallKind call, String objectKind) {
        arrived.merge(objectKind.isEmpty() ? call.label() : call.label() + " " + objectKind, 1L, Long::sum);
        slots.merge((clock.getAsLong() - origin) / SLOT_LENGTH.toNanos(), 1L, Long::sum);
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

    /** Resets all counts. */
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
     * A snapshot of the counts.
     *
     * @param total The number of received calls.
     * @param elapsedMillis The time since counting started.
     * @param arrived The received calls by kind of call and kind of object.
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
