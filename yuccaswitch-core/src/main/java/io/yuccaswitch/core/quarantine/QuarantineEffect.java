package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Effect;

/** What the quarantine tells the shell. */
public sealed interface QuarantineEffect extends Effect {

    /**
     * What is known has changed.
     *
     * @param view What is known now.
     */
    record Changed(QuarantineView view) implements QuarantineEffect {}
}
