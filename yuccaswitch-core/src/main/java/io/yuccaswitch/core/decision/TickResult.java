package io.yuccaswitch.core.decision;

import java.util.List;

/**
 * The result of a tick.
 *
 * @param effects The effects for the shell to execute, in the order of their emission.
 * @param decisions The decisions to log and to retain for {@code yuccaswitch explain}, in the order of their recording.
 */
public record TickResult(List<Effect> effects, List<Decision> decisions) {

    /** Copies the lists. */
    public TickResult {
        effects = List.copyOf(effects);
        decisions = List.copyOf(decisions);
    }
}
