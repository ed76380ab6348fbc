package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.TrainerName;

/** An event that concerns the weight versions of trainers. */
public sealed interface WeightEvent extends Event {

    /**
     * A trainer published a version, or this node was notified of it. Notifications may be repeated and may arrive out
     * of order: only the highest version of a trainer is used.
     *
     * @param trainer The trainer.
     * @param version The version, which increases with each publication.
     * @param location The location of the weights in the weight store.
     */
    record Published(TrainerName trainer, long version, String location) implements WeightEvent {}

    /**
     * A version that was published at this node is stored at another node or on the platform, so that the publication
     * may be acknowledged. The event is raised once for each {@link Published} event that was not rejected.
     *
     * @param trainer The trainer.
     * @param version The version.
     */
    record PublicationSafe(TrainerName trainer, long version) implements WeightEvent {}

    /**
     * A publication at this node is rejected, because this node has a higher version or the same version at another
     * location.
     *
     * @param trainer The trainer.
     * @param version The rejected version.
     * @param newestVersion The newest version that this node has.
     */
    record PublicationRefused(TrainerName trainer, long version, long newestVersion) implements WeightEvent {}

    /**
     * An order to an engine has ended. Only a report of the engine confirms that it holds the version.
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
