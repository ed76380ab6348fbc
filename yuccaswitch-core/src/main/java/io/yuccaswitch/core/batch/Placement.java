package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.time.MonotonicTime;

/**
 * The start of an item for which an engine is chosen.
 *
 * @param now The current time.
 * @param job The item's job.
 * @param item The item.
 */
record Placement(MonotonicTime now, RunningJob job, RunningItem item) {}
