package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * Until when the holder of the lease may act, and when it last did. Permissions go on to pass while the machine is
 * suspended.
 */
final class DutyPermission {

    /** How long the holder may act after the sending of a renewal: some renewals may fail, few do. */
    static final Duration VALIDITY = Duration.ofMillis(1500);

    /** A time that has always passed. */
    private static final MonotonicTime NEVER = new MonotonicTime(Long.MIN_VALUE / 2);

    /** Until when the holder may act. */
    private MonotonicTime until = NEVER;

    /** For how long the machine was suspended in all. */
    private Duration suspended = Duration.ZERO;

    /** When this node last acted, if it ever did. */
    private Optional<MonotonicTime> actedAt = Optional.empty();

    /**
     * Takes that the machine was suspended.
     *
     * @param gap For how long.
     */
    void suspend(Duration gap) {
        suspended = suspended.plus(gap);
    }

    /**
     * Returns a time with that for which the machine was suspended.
     *
     * @param time The monotonic time.
     * @return The time by which permissions pass.
     */
    MonotonicTime awake(MonotonicTime time) {
        return time.plus(suspended);
    }

    /**
     * Extends the permission after a renewal that the platform granted.
     *
     * @param sentAt When the renewal was sent, with the time for which the machine was suspended before.
     */
    void extend(MonotonicTime sentAt) {
        until = sentAt.plus(VALIDITY);
    }

    /** Ends the permission. */
    void end() {
        until = NEVER;
    }

    /**
     * Tells whether the holder may act.
     *
     * @param now The present.
     * @return {@code true} if it may.
     */
    boolean isValid(MonotonicTime now) {
        return awake(now).isBefore(until);
    }

    /**
     * Notes that the holder acts, or that what it sent may be on its way still.
     *
     * @param now The present.
     */
    void noteAction(MonotonicTime now) {
        actedAt = Optional.of(now);
    }

    /**
     * Returns for how long this node has not acted.
     *
     * @param now The present.
     * @return The time, or empty if it never did.
     */
    Optional<Duration> quiet(MonotonicTime now) {
        return actedAt.map(now::since);
    }
}
