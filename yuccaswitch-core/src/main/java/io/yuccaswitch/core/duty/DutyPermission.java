package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * The permission of the lease holder to act, and the time of its last action. Permissions continue to expire while the
 * VM is suspended.
 */
final class DutyPermission {

    /** How long the holder may act after a granted renewal was sent; tolerates occasional failed renewals. */
    static final Duration VALIDITY = Duration.ofMillis(1500);

    /** A time in the past, for a permission that is not valid. */
    private static final MonotonicTime EXPIRED = new MonotonicTime(Long.MIN_VALUE / 2);

    /** When the permission expires, including the time for which the VM was suspended. */
    private MonotonicTime expiresAt = EXPIRED;

    /** The total time for which the VM was suspended. */
    private Duration totalSuspension = Duration.ZERO;

    /** When this node last acted, or empty if it never did. */
    private Optional<MonotonicTime> actedAt = Optional.empty();

    /**
     * Records a suspension of the VM.
     *
     * @param gap The duration of the suspension.
     */
    void recordSuspension(Duration gap) {
        totalSuspension = totalSuspension.plus(gap);
    }

    /**
     * Adds the total time for which the VM was suspended to a monotonic time.
     *
     * @param time The monotonic time.
     * @return The time on the scale by which permissions expire.
     */
    MonotonicTime withSuspensions(MonotonicTime time) {
        return time.plus(totalSuspension);
    }

    /**
     * Extends the permission after a granted renewal.
     *
     * @param sentAt When the renewal was sent, including the time for which the VM was suspended before.
     */
    void extend(MonotonicTime sentAt) {
        expiresAt = sentAt.plus(VALIDITY);
    }

    /** Ends the permission. */
    void end() {
        expiresAt = EXPIRED;
    }

    /**
     * Returns whether the holder may act.
     *
     * @param now The current time.
     * @return {@code true} if the permission has not expired.
     */
    boolean isValid(MonotonicTime now) {
        return withSuspensions(now).isBefore(expiresAt);
    }

    /**
     * Records that the holder acts, or that an earlier call may still be in transit.
     *
     * @param now The current time.
     */
    void recordAction(MonotonicTime now) {
        actedAt = Optional.of(now);
    }

    /**
     * Returns the time since this node last acted.
     *
     * @param now The current time.
     * @return The time, or empty if this node never acted.
     */
    Optional<Duration> sinceLastAction(MonotonicTime now) {
        return actedAt.map(now::since);
    }
}
