package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** A message between nodes about published versions. */
public sealed interface WeightMessage extends PeerMessage {

    /**
     * Tells of a published version, to be answered by {@link Known}.
     *
     * @param trainer The trainer.
     * @param version The version.
     * @param location The place of the weights in the weight store.
     */
    record Published(TrainerName trainer, long version, String location) implements WeightMessage {}

    /**
     * Says that the sender knows a published version or a higher one.
     *
     * @param trainer The trainer.
     * @param version The newest version that the sender knows.
     */
    record Known(TrainerName trainer, long version) implements WeightMessage {}

    /**
     * Tells of the newest version of each trainer, to be answered by the versions that are newer at the receiver, if
     * there are any.
     *
     * @param versions The newest versions.
     */
    record Exchange(List<Published> versions) implements WeightMessage {

        /**
         * Copies the list.
         *
         * @param versions The newest versions.
         */
        public Exchange {
            versions = List.copyOf(versions);
        }
    }
}
