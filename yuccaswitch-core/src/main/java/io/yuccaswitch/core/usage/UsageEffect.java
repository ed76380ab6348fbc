package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeName;
import java.util.Map;

/** Effects of the usage systems. */
public sealed interface UsageEffect extends Effect {

    /**
     * Sends the report of a window to the cloud.
     *
     * @param window The number of the window.
     * @param counts The number of requests that began to run, by account name, sorted by that name.
     * @param holder The node that holds the duties.
     * @param fence The fencing number.
     */
    record Report(long window, Map<String, Long> counts, NodeName holder, long fence) implements UsageEffect {}
}
