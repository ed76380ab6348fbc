package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/** The schedule of work that runs at a fixed minimum interval. */
final class Interval {

    /** The time between two runs. */
    private final Duration length;

    /** The time of the next run. */
    private MonotonicTime next = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new interval whose first run is due immediately.
     *
     * @param length The time between two runs.
     */
    Interval(Duration length) {
        this.length = length;
    }

    /**
     * Returns whether a run is due, and if so schedules the next run relative to the current time.
     *
     * @param now The current time.
     * @return {@code true} if a run is due.
     */
    boolean due(MonotonicTime now) {
        if (now.isBefore(next)) {
            return false;
        }
        next = now.plus(length);
        return true;
    }
}
