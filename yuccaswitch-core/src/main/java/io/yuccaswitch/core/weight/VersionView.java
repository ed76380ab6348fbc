package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.identity.TrainerName;
import java.util.Optional;

/** What other systems may ask about published versions. */
public interface VersionView {

    /**
     * Returns the newest version of a trainer that this node knows.
     *
     * @param trainer The trainer.
     * @return The newest version, or empty if none is known.
     */
    Optional<PublishedVersion> newest(TrainerName trainer);
}
