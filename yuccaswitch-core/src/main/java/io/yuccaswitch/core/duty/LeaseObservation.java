package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * An observation of the lease.
 *
 * @param value The value of the lease.
 * @param version The version of the lease object.
 * @param observedAt When this version was first observed.
 */
record LeaseObservation(LeaseValue value, long version, MonotonicTime observedAt) {

    /**
     * Returns whether a node may acquire the lease.
     *
     * @param now The current time.
     * @param self The node that would acquire it.
     * @param safetyTime The minimum time between calls of two holders.
     * @return {@code true} if all permissions of the holder have expired, or it is an earlier process of this VM.
     */
    boolean isFree(MonotonicTime now, NodeName self, Duration safetyTime) {
        if (value.holder().equals(self)) {
            return true;
        }
        Duration permissionValidity = value.released() ? Duration.ZERO : DutyPermission.VALIDITY;
        Duration idle = now.since(observedAt).plusMillis(value.idleMillis());
        return idle.compareTo(permissionValidity.plus(safetyTime).plus(DutyLease.TIMER_MARGIN)) >= 0;
    }
}
