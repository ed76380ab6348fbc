package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.time.MonotonicTime;

/**
 * A lease that this node holds.
 *
 * @param name The lease's name.
 * @param fencingNumber The fencing number, which no other holder of the lease ever bears, and which is higher than
 *     those of all holders before.
 * @param since The time since which this node holds the lease under this fencing number without a break.
 * @param validUntil The time from which on this node must no longer act on the lease.
 * @param degraded {@code true} if the platform is silent and the node acts on the succession that the platform's record
 *     of the lease laid down before.
 */
public record HeldLease(
        LeaseName name, long fencingNumber, MonotonicTime since, MonotonicTime validUntil, boolean degraded) {}
