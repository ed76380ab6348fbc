package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.TrainerName;

/** Something that happened to the weight versions of a trainer. */
public sealed interface WeightEvent extends Event {

    /**
     * A trainer published a version, or news of it arrived. News may be repeated and may come out of order: only the
     * highest version of a trainer counts.
     *
     * @param trainer The trainer.
     * @param version The version, which grows with each publication.
     * @param location The place of the weights in the weight store.
     */
    record Published(TrainerName trainer, long version, String location) implements WeightEvent {}
}
