package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.value.Bytes;
import java.util.OptionalLong;

/** An event that concerns the configuration. */
public sealed interface ConfigurationEvent extends Event {

    /**
     * A generation of the configuration became active on this node. Generations only increase.
     *
     * @param generation The generation.
     * @param configuration The configuration.
     */
    record Activated(long generation, FleetConfiguration configuration) implements ConfigurationEvent {}

    /**
     * The shell decoded the envelope of a {@link ConfigurationEffect.Decode}. The configuration is not active yet: the
     * distribution raises {@link Activated} if the generation is higher than the previous one.
     *
     * @param generation The generation.
     * @param envelope The decoded envelope.
     * @param configuration The configuration.
     */
    record Decoded(long generation, Bytes envelope, FleetConfiguration configuration) implements ConfigurationEvent {}

    /**
     * The shell could not decode the envelope of a {@link ConfigurationEffect.Decode}. The previous generation remains
     * active.
     *
     * @param generation The generation if the envelope could be read but its content is not supported, for example
     *     because it was written for a newer release, or empty if the envelope is malformed.
     * @param envelope The envelope.
     * @param reason The reason, for logs.
     */
    record Rejected(OptionalLong generation, Bytes envelope, String reason) implements ConfigurationEvent {}

    /**
     * A snapshot of an envelope was found on this VM's disk when the node started. It may be stale.
     *
     * @param envelope The envelope.
     */
    record SnapshotFound(Bytes envelope) implements ConfigurationEvent {}

    /**
     * This node has an active configuration and has confirmed that it is the newest one that it can obtain, so that it
     * may serve from now on. This event is raised once.
     *
     * @param generation The active generation.
     */
    record ReadyToServe(long generation) implements ConfigurationEvent {}
}
