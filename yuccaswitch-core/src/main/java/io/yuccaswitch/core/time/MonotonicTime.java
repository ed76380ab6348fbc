package io.yuccaswitch.core.time;

import java.time.Duration;

/**
 * A point in time on a process's monotonic clock. Points of different processes are not comparable.
 *
 * @param nanoseconds The nanoseconds since an arbitrary origin.
 */
public record MonotonicTime(long nanoseconds) implements Comparable<MonotonicTime> {

    /** The origin of the clock. */
    public static final MonotonicTime ZERO = new MonotonicTime(0);

    /**
     * Returns the point after a duration.
     *
     * @param duration The duration to add, which may be negative.
     * @return The later point, or an earlier one if the duration is negative.
     */
    public MonotonicTime plus(Duration duration) {
        return new MonotonicTime(nanoseconds + duration.toNanos());
    }

    /**
     * Returns the duration since an earlier point.
     *
     * @param earlier The earlier point.
     * @return The duration between both, negative if the other point is later.
     */
    public Duration since(MonotonicTime earlier) {
        return Duration.ofNanos(nanoseconds - earlier.nanoseconds);
    }

    /**
     * Returns whether this point is before another one.
     *
     * @param other The other point.
     * @return {@code true} if this point is before the other one.
     */
    public boolean isBefore(MonotonicTime other) {
        return nanoseconds < other.nanoseconds;
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(nanoseconds, other.nanoseconds);
    }
}
