package io.yuccaswitch.testkit.platform;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** A token-bucket rate limit that permits bursts of as many calls as it permits in one second. */
final class RateLimit {

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The permitted calls per second, or zero for no limit. */
    private double perSecond;

    /** The number of calls that are currently permitted. */
    private double available;

    /** The time at which {@link #available} was computed, in nanoseconds of the monotonic clock. */
    private long updatedAt;

    /**
     * Creates a rate limit.
     *
     * @param clock The monotonic clock in nanoseconds.
     * @param perSecond The permitted calls per second, or zero for no limit.
     */
    RateLimit(LongSupplier clock, double perSecond) {
        this.clock = clock;
        change(perSecond);
    }

    /**
     * Changes the limit.
     *
     * @param newPerSecond The permitted calls per second, or zero for no limit.
     */
    synchronized void change(double newPerSecond) {
        perSecond = newPerSecond;
        available = newPerSecond;
        updatedAt = clock.getAsLong();
    }

    /**
     * Acquires a permit for one call.
     *
     * @return {@code true} if the call is permitted.
     */
    synchronized boolean tryAcquire() {
        if (perSecond <= 0) {
            return true;
        }
        long now = clock.getAsLong();
        double refilled = perSecond * (now - updatedAt) / TimeUnit.SECONDS.toNanos(1);
        available = Math.min(perSecond, available + refilled);
        updatedAt = now;
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
