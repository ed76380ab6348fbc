package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.TrainerName;

/** The result of a trainer's publication of weights at this node. */
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
     * The publication is recorded at another node or on the platform, and may be acknowledged to the trainer.
     *
     * @param trainer The trainer.
     * @param version The version.
     */
    record Safe(TrainerName trainer, long version) implements PublicationEffect {}

    /**
     * The publication is rejected.
     *
     * @param trainer The trainer.
     * @param version The version.
     * @param newestVersion The newest version that this node has recorded.
     */
    record Refused(TrainerName trainer, long version, long newestVersion) implements PublicationEffect {}
}
