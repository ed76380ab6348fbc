package io.yuccaswitch.node;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * The time of day, without transient steps of the system clock: a step is applied only once it has persisted. A system
 * clock that is wrong for a few seconds would otherwise assign the requests of these seconds to a wrong window.
 */
public final class SteadyTimeOfDay implements LongSupplier {

    /** The minimum change of the clock that is treated as a step: far more than a clock drifts between two readings. */
    private static final long STEP_MILLIS = 250;

    /**
     * The time after which a step is applied: longer than a clock that was set wrongly by mistake usually stays wrong.
     */
    private static final Duration STEP_CONFIRMATION_DELAY = Duration.ofSeconds(45);

    /** Supplies the system clock's time of day, in milliseconds since the epoch. */
    private final LongSupplier timeOfDay;

    /** Supplies the monotonic time, in nanoseconds. */
    private final LongSupplier monotonic;

    /** The difference between the time of day and the monotonic time, in milliseconds. */
    private long offsetMillis;

    /** The monotonic time in nanoseconds at which a pending step was first seen, or a negative number without one. */
    private long stepSinceNanos = -1;

    /**
     * Creates a time of day that starts with the time of the system clock.
     *
     * @param timeOfDay Supplies the system clock's time of day, in milliseconds since the epoch.
     * @param monotonic Supplies the monotonic time, in nanoseconds.
     */
    public SteadyTimeOfDay(LongSupplier timeOfDay, LongSupplier monotonic) {
        this.timeOfDay = timeOfDay;
        this.monotonic = monotonic;
        offsetMillis = timeOfDay.getAsLong() - millis(monotonic.getAsLong());
    }

    @Override
    public synchronized long getAsLong() {
        long nanos = monotonic.getAsLong();
        long current = timeOfDay.getAsLong() - millis(nanos);
        if (Math.abs(current - offsetMillis) < STEP_MILLIS) {
            offsetMillis = current;
            stepSinceNanos = -1;
        } else if (stepSinceNanos < 0) {
            stepSinceNanos = nanos;
        } else if (nanos - stepSinceNanos >= STEP_CONFIRMATION_DELAY.toNanos()) {
            offsetMillis = current;
            stepSinceNanos = -1;
        }
        return millis(nanos) + offsetMillis;
    }

    /**
     * Converts a monotonic time.
     *
     * @param nanos The time in nanoseconds.
     * @return The time in milliseconds.
     */
    private static long millis(long nanos) {
        return Math.floorDiv(nanos, 1_000_000L);
    }
}
