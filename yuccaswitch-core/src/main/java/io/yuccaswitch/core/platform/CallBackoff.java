package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * Delays the calls of a system to the platform after a failed call: by a random time within a bound that doubles with
 * each failure, such that the nodes do not all call at once when the platform is reachable again.
 */
public final class CallBackoff {

    /** The bound after the first failure. */
    private final Duration initial;

    /** The maximum bound. */
    private final Duration maximum;

    /** The bound after the next failure. */
    private Duration bound;

    /** The earliest time of the next call. */
    private MonotonicTime nextCallAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a backoff that allows a call immediately.
     *
     * @param initial The bound after the first failure.
     * @param maximum The maximum bound.
     */
    public CallBackoff(Duration initial, Duration maximum) {
        this.initial = initial;
        this.maximum = maximum;
        bound = initial;
    }

    /**
     * Returns whether a call may be made.
     *
     * @param now The current time.
     * @return {@code true} if a call may be made.
     */
    public boolean allows(MonotonicTime now) {
        return !now.isBefore(nextCallAt);
    }

    /**
     * Records that a call failed.
     *
     * @param tick The tick.
     */
    public void failed(Tick tick) {
        long half = bound.toNanos() / 2;
        nextCallAt = tick.now().plus(Duration.ofNanos(half + tick.random().nextLong(half + 1)));
        Duration doubled = bound.multipliedBy(2);
        bound = doubled.compareTo(maximum) < 0 ? doubled : maximum;
    }

    /**
     * Records that a call succeeded, and delays the next one.
     *
     * @param now The current time.
     * @param delay The time until the next call.
     */
    public void succeeded(MonotonicTime now, Duration delay) {
        bound = initial;
        nextCallAt = now.plus(delay);
    }
}
