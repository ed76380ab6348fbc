package io.yuccaswitch.node;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * The time of day, without the steps of a machine's clock that are taken back: a step counts only once it has lasted.
 * With the machine's clock alone, one that is set wrong for some seconds counts the requests of these seconds in a
 * wrong window.
 */
public final class SteadyTimeOfDay implements LongSupplier {

    /**
     * The difference from which on a change of the clock is a step: far more than a clock drifts between two readings.
     */
    private static final long STEP_MILLIS = 250;

    /** How long a step has to last until it counts: longer than a clock that was set wrong by mistake is left so. */
    private static final Duration LASTING = Duration.ofSeconds(45);

    /** Tells the machine's time of day, in milliseconds since the epoch. */
    private final LongSupplier timeOfDay;

    /** Tells the monotonic time, in nanoseconds. */
    private final LongSupplier monotonic;

    /** What the monotonic time lacks of the time of day, in milliseconds. */
    private long offset;

    /** Since when the clock has differed by a step, in monotonic nanoseconds, or a negative number if it does not. */
    private long stepSince = -1;

    /**
     * Creates a time of day that agrees with the machine's clock.
     *
     * @param timeOfDay Tells the machine's time of day, in milliseconds since the epoch.
     * @param monotonic Tells the monotonic time, in nanoseconds.
     */
    public SteadyTimeOfDay(LongSupplier timeOfDay, LongSupplier monotonic) {
        this.timeOfDay = timeOfDay;
        this.monotonic = monotonic;
        offset = timeOfDay.getAsLong() - millis(monotonic.getAsLong());
    }

    @Override
    public synchronized long getAsLong() {
        long nanos = monotonic.getAsLong();
        long current = timeOfDay.getAsLong() - millis(nanos);
        if (Math.abs(current - offset) < STEP_MILLIS) {
            offset = current;
            stepSince = -1;
        } else if (stepSince < 0) {
            stepSince = nanos;
        } else if (nanos - stepSince >= LASTING.toNanos()) {
            offset = current;
            stepSince = -1;
        }
        return millis(nanos) + offset;
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
