package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * The lease as it was seen.
 *
 * @param value What it said.
 * @param version The version of its object.
 * @param at When this version was first seen.
 */
record LeaseObservation(LeaseValue value, long version, MonotonicTime at) {

    /**
     * Returns whether the lease may be taken.
     *
     * @param now The present.
     * @param self The node that would take it.
     * @param safetyTime The least time between calls of two holders.
     * @return {@code true} if its holder is past all permissions, or is this VM's earlier process.
     */
    boolean isFree(MonotonicTime now, NodeName self, Duration safetyTime) {
        if (value.holder().equals(self)) {
            return true;
        }
        Duration lastPermission = value.released() ? Duration.ZERO : DutyPermission.VALIDITY;
        Duration quiet = now.since(at).plusMillis(value.quietMillis());
        return quiet.compareTo(lastPermission.plus(safetyTime).plus(DutyLease.MARGIN)) >= 0;
    }
}
