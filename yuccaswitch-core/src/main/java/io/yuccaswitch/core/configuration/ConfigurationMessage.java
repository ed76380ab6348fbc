package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;

/** A message by which nodes distribute the configuration among each other. */
public sealed interface ConfigurationMessage extends PeerMessage {

    /**
     * Announces a generation that the sender has just obtained.
     *
     * @param generation The generation.
     */
    record Announcement(long generation) implements ConfigurationMessage {}

    /**
     * Requests the configuration if the receiver holds a higher generation than the sender.
     *
     * @param generation The generation that the sender holds, or zero if it holds none.
     */
    record Pull(long generation) implements ConfigurationMessage {}

    /**
     * Transfers a generation.
     *
     * @param generation The generation.
     * @param compressedEnvelope The compressed envelope, as stored on the platform.
     */
    record Content(long generation, Bytes compressedEnvelope) implements ConfigurationMessage {}
}
