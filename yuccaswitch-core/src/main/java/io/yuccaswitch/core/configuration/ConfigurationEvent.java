package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.value.Bytes;
import java.util.OptionalLong;

/** Something that happened to the configuration. */
public sealed interface ConfigurationEvent extends Event {

    /**
     * A generation of the configuration came into force on this node. Generations only grow.
     *
     * @param generation The generation.
     * @param configuration The configuration.
     */
    record InForce(long generation, FleetConfiguration configuration) implements ConfigurationEvent {}

    /**
     * The shell decoded what {@link ConfigurationEffect.Decode} asked for. This is not yet in force: the distribution
     * raises {@link InForce} if the generation is higher than the one before.
     *
     * @param generation The generation.
     * @param envelope The envelope that was decoded.
     * @param configuration The configuration.
     */
    record Decoded(long generation, Bytes envelope, FleetConfiguration configuration) implements ConfigurationEvent {}

    /**
     * The shell could not decode what {@link ConfigurationEffect.Decode} asked for. The generation before stays in
     * force.
     *
     * @param generation The generation if the envelope could be read and only its content was not understood, such as
     *     when it was written for a newer release, or empty if the envelope is malformed.
     * @param envelope The envelope.
     * @param reason The reason, for logs.
     */
    record Rejected(OptionalLong generation, Bytes envelope, String reason) implements ConfigurationEvent {}

    /**
     * A snapshot of an envelope was found on this VM's disk when the node started. It may be old.
     *
     * @param envelope The envelope.
     */
    record SnapshotFound(Bytes envelope) implements ConfigurationEvent {}

    /**
     * This node has a configuration in force and made sure that it is the newest one that it can learn of, such that it
     * may serve from now on. This is raised once.
     *
     * @param generation The generation in force.
     */
    record ReadyToServe(long generation) implements ConfigurationEvent {}
}
