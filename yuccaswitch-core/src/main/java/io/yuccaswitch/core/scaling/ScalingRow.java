package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.time.MonotonicTime;

/**
 * The order for a pool in an availability zone.
 *
 * @param ordered The last ordered number of endpoints, or the number that this node found when it acquired the duty.
 * @param dueAt When the order is repeated if endpoints are missing.
 */
record ScalingRow(int ordered, MonotonicTime dueAt) {}
