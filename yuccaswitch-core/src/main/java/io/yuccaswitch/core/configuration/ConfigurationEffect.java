package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.value.Bytes;

/** Something that the distribution of the configuration wants of the shell. */
public sealed interface ConfigurationEffect extends Effect {

    /**
     * Decodes an envelope, to be answered by {@link ConfigurationEvent.Decoded} or {@link ConfigurationEvent.Rejected}.
     *
     * @param envelope The envelope as the platform holds it, or as a node handed it on.
     */
    record Decode(Bytes envelope) implements ConfigurationEffect {}

    /**
     * Keeps the envelope in force on the VM's disk, if it has one.
     *
     * @param generation The generation.
     * @param envelope The envelope.
     */
    record Keep(long generation, Bytes envelope) implements ConfigurationEffect {}
}
