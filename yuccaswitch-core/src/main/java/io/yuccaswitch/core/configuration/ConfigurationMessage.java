package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;

/** A message by which nodes hand the configuration on to each other. */
public sealed interface ConfigurationMessage extends PeerMessage {

    /**
     * Says that the sender holds a generation, when it has just learned of it.
     *
     * @param generation The generation.
     */
    record Announcement(long generation) implements ConfigurationMessage {}

    /**
     * Asks for the configuration if the receiver holds a higher generation than the sender.
     *
     * @param generation The generation that the sender holds, or zero if it holds none.
     */
    record Pull(long generation) implements ConfigurationMessage {}

    /**
     * Hands a generation on.
     *
     * @param generation The generation.
     * @param compressedEnvelope The envelope as the platform holds it, compressed.
     */
    record Content(long generation, Bytes compressedEnvelope) implements ConfigurationMessage {}
}
