package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.duty.DutyOutcome;
import java.util.Map;

/** What the shell tells of usage. */
public sealed interface UsageEvent extends Event {

    /**
     * Requests have begun to run here.
     *
     * @param counts The counts that have grown, in full, by window and account.
     */
    record Counted(Map<Long, Map<String, Long>> counts) implements UsageEvent {}

    /**
     * A report was sent.
     *
     * @param window The number of the window.
     * @param outcome What became of it.
     */
    record Reported(long window, DutyOutcome outcome) implements UsageEvent {}
}
