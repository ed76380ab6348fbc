package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.value.Bytes;

/** An effect that the distribution of the configuration requests from the shell. */
public sealed interface ConfigurationEffect extends Effect {

    /**
     * Decodes an envelope. The shell answers with {@link ConfigurationEvent.Decoded} or
     * {@link ConfigurationEvent.Rejected}.
     *
     * @param envelope The envelope as stored on the platform or as forwarded by another node.
     */
    record Decode(Bytes envelope) implements ConfigurationEffect {}

    /**
     * Writes the envelope of the active generation to the VM's disk, if it has one.
     *
     * @param generation The generation.
     * @param envelope The envelope.
     */
    record Persist(long generation, Bytes envelope) implements ConfigurationEffect {}
}
