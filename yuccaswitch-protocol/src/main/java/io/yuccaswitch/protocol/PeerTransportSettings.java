package io.yuccaswitch.protocol;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The settings of a node's transport.
 *
 * @param bindAddress The address to listen on, whose port may be zero for any free one.
 * @param site The name of the site, which peers must share.
 * @param token The token that all nodes of the site share.
 * @param queuedMessages The largest number of messages that wait for one peer.
 * @param queuedBytes The largest number of bytes that wait for one peer.
 * @param incomingConnections The largest number of connections that peers may hold open to this node.
 * @param connectTimeout The time in which a connection must be made and greeted.
 * @param stallTimeout The time after which a connection that takes no bytes while messages wait is given up.
 * @param idleTimeout The time after which a connection that carries nothing is closed.
 * @param initialBackOff The time to wait after the first failed attempt to connect, which doubles with each further
 *     one.
 * @param maximumBackOff The longest time to wait between attempts to connect.
 */
public record PeerTransportSettings(
        InetSocketAddress bindAddress,
        String site,
        String token,
        int queuedMessages,
        long queuedBytes,
        int incomingConnections,
        Duration connectTimeout,
        Duration stallTimeout,
        Duration idleTimeout,
        Duration initialBackOff,
        Duration maximumBackOff) {

    /** The largest length of a frame. */
    public static final int MAXIMUM_FRAME_LENGTH = 8 * 1024 * 1024;

    /** The default number of messages that wait for one peer. */
    private static final int QUEUED_MESSAGES = 4096;

    /** The default number of bytes that wait for one peer. */
    private static final long QUEUED_BYTES = 2L * MAXIMUM_FRAME_LENGTH;

    /** The default number of incoming connections. */
    private static final int INCOMING_CONNECTIONS = 4096;

    /**
     * Creates the settings that a node uses.
     *
     * @param bindAddress The address to listen on.
     * @param site The name of the site.
     * @param token The token that all nodes of the site share.
     * @return The settings.
     */
    public static PeerTransportSettings of(InetSocketAddress bindAddress, String site, String token) {
        return new PeerTransportSettings(
                bindAddress,
                site,
                token,
                QUEUED_MESSAGES,
                QUEUED_BYTES,
                INCOMING_CONNECTIONS,
                Duration.ofSeconds(2),
                Duration.ofSeconds(5),
                Duration.ofSeconds(30),
                Duration.ofMillis(50),
                Duration.ofSeconds(2));
    }
}
