package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** The largest of the values that a quantity has had lately. */
final class RecentPeak {

    /** For how long a value counts. */
    private final Duration memory;

    /** The values that may still become the largest one, the largest first. */
    private final Deque<Reading> readings = new ArrayDeque<>();

    /**
     * Creates a peak without values.
     *
     * @param memory For how long a value counts.
     */
    RecentPeak(Duration memory) {
        this.memory = memory;
    }

    /**
     * Takes a value.
     *
     * @param value The value.
     * @param now The present.
     * @return The largest value lately, this one among them.
     */
    int take(int value, MonotonicTime now) {
        while (!readings.isEmpty() && readings.getLast().value() <= value) {
            readings.removeLast();
        }
        readings.addLast(new Reading(value, now));
        while (now.since(readings.getFirst().at()).compareTo(memory) > 0) {
            readings.removeFirst();
        }
        return readings.getFirst().value();
    }

    /**
     * A value.
     *
     * @param value The value.
     * @param at When it was taken.
     */
    private record Reading(int value, MonotonicTime at) {}
}
