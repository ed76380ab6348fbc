package io.yuccaswitch.core.decision;

import java.util.List;

/**
 * What a tick brought about.
 *
 * @param effects The effects for the shell to carry out, in order.
 * @param decisions The decisions to log and to keep for explanation, in order.
 */
public record TickResult(List<Effect> effects, List<Decision> decisions) {

    /** Copies the lists. */
    public TickResult {
        effects = List.copyOf(effects);
        decisions = List.copyOf(decisions);
    }
}
