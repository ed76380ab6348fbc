package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/**
 * Messages of the node that gives orders: to read versions while the platform does not answer it, and to announce loads
 * to the nodes that run jobs.
 */
public sealed interface OrderMessage extends PeerMessage {

    /** Requests another node to read the current versions that trainers have named from the platform. */
    record ReadVersions() implements OrderMessage {}

    /**
     * Returns the versions that trainers have named.
     *
     * @param versions The newest version of each model.
     */
    record VersionsRead(List<NamedVersion> versions) implements OrderMessage {}

    /**
     * Announces that an engine is about to load a version. Until the load ends it refuses items of the model.
     *
     * @param engine The engine.
     * @param model The model.
     * @param version The version.
     * @param durationMillis The expected time until the load ends, in milliseconds.
     */
    record LoadAnnounced(EndpointName engine, String model, long version, long durationMillis)
            implements OrderMessage {}

    /**
     * Announces that an engine no longer loads a model, with or without success.
     *
     * @param engine The engine.
     * @param model The model.
     */
    record LoadEnded(EndpointName engine, String model) implements OrderMessage {}
}
