package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * When a system calls the platform again after a call failed: at a random time within a bound that doubles with each
 * failure, such that nodes don't call all at once when the platform returns.
 */
public final class CallBackOff {

    /** The bound after the first failure. */
    private final Duration first;

    /** The largest bound. */
    private final Duration longest;

    /** The bound after the next failure. */
    private Duration bound;

    /** The earliest time of the next call. */
    private MonotonicTime next = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new instance that allows a call at once.
     *
     * @param first The bound after the first failure.
     * @param longest The largest bound.
     */
    public CallBackOff(Duration first, Duration longest) {
        this.first = first;
        this.longest = longest;
        bound = first;
    }

    /**
     * Returns whether a call may be made.
     *
     * @param now The current time.
     * @return {@code true} if a call may be made.
     */
    public boolean allows(MonotonicTime now) {
        return !now.isBefore(next);
    }

    /**
     * Takes note that a call failed.
     *
     * @param tick The tick.
     */
    public void failed(Tick tick) {
        long half = bound.toNanos() / 2;
        next = tick.now().plus(Duration.ofNanos(half + tick.random().nextLong(half + 1)));
        Duration twice = bound.multipliedBy(2);
        bound = twice.compareTo(longest) < 0 ? twice : longest;
    }

    /**
     * Takes note that a call succeeded, and delays the next one.
     *
     * @param now The current time.
     * @param delay The time until the next call.
     */
    public void succeeded(MonotonicTime now, Duration delay) {
        bound = first;
        next = now.plus(delay);
    }
}
