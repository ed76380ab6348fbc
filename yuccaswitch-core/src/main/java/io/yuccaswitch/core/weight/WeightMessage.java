package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** A message between nodes about published versions. */
public sealed interface WeightMessage extends PeerMessage {

    /**
     * Announces a published version. The receiver answers with {@link RecordedVersions}.
     *
     * @param trainer The trainer.
     * @param version The version.
     * @param location The location of the weights in the weight store.
     */
    record Published(TrainerName trainer, long version, String location) implements WeightMessage {}

    /**
     * Reports that the sender has a published version or a higher one.
     *
     * @param trainer The trainer.
     * @param version The newest version at the sender.
     */
    record RecordedVersions(TrainerName trainer, long version) implements WeightMessage {}

    /**
     * Announces the newest version of each trainer. The receiver answers with the versions that are newer at its side,
     * if there are any.
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
