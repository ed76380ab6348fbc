package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.time.MonotonicTime;

/**
 * What was ordered for a pool in an availability zone.
 *
 * @param ordered The number that was ordered last, or that was found when this node got the duty.
 * @param dueAt When the number is looked at again.
 */
record ScalingRow(int ordered, MonotonicTime dueAt) {}
