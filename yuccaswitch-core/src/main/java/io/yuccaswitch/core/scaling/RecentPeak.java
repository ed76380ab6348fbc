package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** The maximum of a value over a sliding time window. */
final class RecentPeak {

    /** How long a value is retained. */
    private final Duration retention;

    /** The values that may still become the maximum, in descending order. */
    private final Deque<Reading> readings = new ArrayDeque<>();

    /**
     * Creates an empty window.
     *
     * @param retention How long a value is retained.
     */
    RecentPeak(Duration retention) {
        this.retention = retention;
    }

    /**
     * Adds a value.
     *
     * @param value The value.
     * @param now The current time.
     * @return The maximum of the retained values, including this one.
     */
    int add(int value, MonotonicTime now) {
        while (!readings.isEmpty() && readings.getLast().value() <= value) {
            readings.removeLast();
        }
        readings.addLast(new Reading(value, now));
        while (now.since(readings.getFirst().at()).compareTo(retention) > 0) {
            readings.removeFirst();
        }
        return readings.getFirst().value();
    }

    /**
     * A retained value.
     *
     * @param value The value.
     * @param at When the value was added.
     */
    private record Reading(int value, MonotonicTime at) {}
}
