package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.time.MonotonicTime;

/**
 * A lease that this node holds.
 *
 * @param name The lease's name.
 * @param fencingNumber The fencing number, which no other holder of the lease ever has, and which is higher than those
 *     of all previous holders.
 * @param since The time since which this node has continuously held the lease under this fencing number.
 * @param validUntil The time from which this node must no longer act on the lease.
 * @param degraded {@code true} if the platform is unreachable and this node acts by the order of succession in the last
 *     record of the lease that the platform stored.
 */
public record HeldLease(
        LeaseName name, long fencingNumber, MonotonicTime since, MonotonicTime validUntil, boolean degraded) {}
