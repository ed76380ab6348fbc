package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.TrainerName;

/** What became of a trainer's publication of weights at this node. */
public sealed interface PublicationEffect extends Effect {

    /**
     * Returns the trainer.
     *
     * @return The trainer.
     */
    TrainerName trainer();

    /**
     * Returns the published version.
     *
     * @return The version.
     */
    long version();

    /**
     * The publication is known to another node or to the platform, and may be answered.
     *
     * @param trainer The trainer.
     * @param version The version.
     */
    record Safe(TrainerName trainer, long version) implements PublicationEffect {}

    /**
     * The publication does not count.
     *
     * @param trainer The trainer.
     * @param version The version.
     * @param newestVersion The newest version that is known.
     */
    record Refused(TrainerName trainer, long version, long newestVersion) implements PublicationEffect {}
}
