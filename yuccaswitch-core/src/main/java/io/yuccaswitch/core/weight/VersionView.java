package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.identity.TrainerName;
import java.util.Optional;

/** A read-only view of published versions for other systems. */
public interface VersionView {

    /**
     * Returns the newest version of a trainer at this node.
     *
     * @param trainer The trainer.
     * @return The newest version, or empty if this node has none.
     */
    Optional<PublishedVersion> newest(TrainerName trainer);
}
