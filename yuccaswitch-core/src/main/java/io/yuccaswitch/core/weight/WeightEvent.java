package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.EndpointName;
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

    /**
     * A version that was published at this node is known to another node or to the platform, such that the publication
     * may be answered. The event is raised once for each {@link Published} event that was not refused.
     *
     * @param trainer The trainer.
     * @param version The version.
     */
    record PublicationSafe(TrainerName trainer, long version) implements WeightEvent {}

    /**
     * A publication at this node does not count, because a higher version is known or the same version lies elsewhere.
     *
     * @param trainer The trainer.
     * @param version The version that was refused.
     * @param newestVersion The newest version that is known.
     */
    record PublicationRefused(TrainerName trainer, long version, long newestVersion) implements WeightEvent {}

    /**
     * An order to an engine has ended. Whether the engine holds the version is only known from its own report.
     *
     * @param endpoint The engine.
     * @param fencingNumber The fencing number of the order.
     * @param model The model or adapter that was ordered.
     * @param version The version that was ordered.
     * @param result How the order ended.
     * @param reason The reason for the result, for logs.
     */
    record OrderEnded(
            EndpointName endpoint, long fencingNumber, String model, long version, OrderResult result, String reason)
            implements WeightEvent {}
}
