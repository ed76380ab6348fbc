package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * Counts the slots that stay free although others wait for them, for example at an engine that their node can't reach.
 * In a saturated pool some slot is free at almost any moment, so only as many as were free throughout count.
 */
final class YieldTimer {

    /** The time since which slots have been left to others without interruption, if they are. */
    private Optional<MonotonicTime> since = Optional.empty();

    /** The lowest number of free slots since then. */
    private long lowest;

    /** Records that no free slots are left to others. */
    void reset() {
        since = Optional.empty();
    }

    /**
     * Records that free slots are left to others, and returns how many of them may be taken.
     *
     * @param free The number of free slots.
     * @param now The current time.
     * @param maximum The maximum time for which they may continuously be left.
     * @return The number of slots that stayed free for the maximum time, or 0 before it has passed. Once it has, the
     *     time starts again.
     */
    long leave(long free, MonotonicTime now, Duration maximum) {
        lowest = since.isEmpty() ? free : Math.min(lowest, free);
        since = lowest == 0 ? Optional.empty() : Optional.of(since.orElse(now));
        if (since.isEmpty() || now.since(since.get()).compareTo(maximum) < 0) {
            return 0;
        }
        since = Optional.empty();
        return lowest;
    }
}
