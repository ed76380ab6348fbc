package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.decision.Event;

/** Something that happened to the configuration. */
public sealed interface ConfigurationEvent extends Event {

    /**
     * A generation of the configuration came into force on this node. Generations only grow.
     *
     * @param generation The generation.
     * @param configuration The configuration.
     */
    record InForce(long generation, FleetConfiguration configuration) implements ConfigurationEvent {}
}
