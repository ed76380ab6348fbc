package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.duty.DutyOutcome;
import java.util.Map;

/** Events about usage that the shell reports. */
public sealed interface UsageEvent extends Event {

    /**
     * Requests have begun to run here.
     *
     * @param counts The full values of the counts that have increased, by window and account.
     */
    record Counted(Map<Long, Map<String, Long>> counts) implements UsageEvent {}

    /**
     * A report was sent.
     *
     * @param window The number of the window.
     * @param outcome The outcome.
     */
    record Reported(long window, DutyOutcome outcome) implements UsageEvent {}
}
