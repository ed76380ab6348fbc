package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Effect;

/** The effects of the quarantine on the shell. */
public sealed interface QuarantineEffect extends Effect {

    /**
     * The state of suspect requests has changed.
     *
     * @param view The current state.
     */
    record Changed(QuarantineView view) implements QuarantineEffect {}
}
