package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** What the node that gives orders asks of the others while the platform does not answer it. */
public sealed interface OrderMessage extends PeerMessage {

    /** Asks another node for the versions that trainers have named, as the platform keeps them now. */
    record ReadVersions() implements OrderMessage {}

    /**
     * Hands on the versions that trainers have named.
     *
     * @param versions The newest version of each model.
     */
    record VersionsRead(List<NamedVersion> versions) implements OrderMessage {}
}
