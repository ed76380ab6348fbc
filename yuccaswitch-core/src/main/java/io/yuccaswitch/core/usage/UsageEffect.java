package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeName;
import java.util.Map;

/** What is to be done about usage. */
public sealed interface UsageEffect extends Effect {

    /**
     * Sends the report of a window to the cloud.
     *
     * @param window The number of the window.
     * @param counts The requests that began to run, by the names of their accounts, in the order of these.
     * @param holder The node that has the duties.
     * @param fence The fencing number.
     */
    record Report(long window, Map<String, Long> counts, NodeName holder, long fence) implements UsageEffect {}
}
