package io.yuccaswitch.testkit.platform;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** A rate limit that lets through bursts of up to one second's worth. */
final class RateLimit {

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The calls that are let through each second, or zero for no limit. */
    private double perSecond;

    /** The calls that may be let through now. */
    private double available;

    /** The time at which {@link #available} was computed. */
    private long updatedAt;

    /**
     * Creates a rate limit.
     *
     * @param clock The monotonic clock in nanoseconds.
     * @param perSecond The calls each second, or zero for no limit.
     */
    RateLimit(LongSupplier clock, double perSecond) {
        this.clock = clock;
        change(perSecond);
    }

    /**
     * Changes the limit.
     *
     * @param newPerSecond The calls each second, or zero for no limit.
     */
    synchronized void change(double newPerSecond) {
        perSecond = newPerSecond;
        available = newPerSecond;
        updatedAt = clock.getAsLong();
    }

    /**
     * Takes one call's worth.
     *
     * @return {@code true} if the call is let through.
     */
    synchronized boolean tryAcquire() {
        if (perSecond <= 0) {
            return true;
        }
        long now = clock.getAsLong();
        double earned = perSecond * (now - updatedAt) / TimeUnit.SECONDS.toNanos(1);
        available = Math.min(perSecond, available + earned);
        updatedAt = now;
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
