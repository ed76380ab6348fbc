package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** Messages by which the node that gives orders reads versions while the platform does not answer it. */
public sealed interface OrderMessage extends PeerMessage {

    /** Requests another node to read the current versions that trainers have named from the platform. */
    record ReadVersions() implements OrderMessage {}

    /**
     * Returns the versions that trainers have named.
     *
     * @param versions The newest version of each model.
     */
    record VersionsRead(List<NamedVersion> versions) implements OrderMessage {}
}
