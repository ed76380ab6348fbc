package io.yuccaswitch.protocol;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The settings of a node's transport.
 *
 * @param bindAddress The address to listen on, where port zero selects any free port.
 * @param site The name of the site, which must be the same at all peers.
 * @param token The token that all nodes of the site share.
 * @param queuedMessages The maximum number of queued messages for one peer.
 * @param queuedBytes The maximum number of queued bytes for one peer.
 * @param incomingConnections The maximum number of open connections from peers to this node.
 * @param connectTimeout The time within which a connection must be established and the greeting received.
 * @param stallTimeout The time after which a connection fails that accepts no bytes while messages are queued.
 * @param idleTimeout The time after which a connection without traffic is closed.
 * @param initialBackoff The delay after the first failed attempt to connect, which doubles with each further failure.
 * @param maximumBackoff The maximum delay between attempts to connect.
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
        Duration initialBackoff,
        Duration maximumBackoff) {

    /** The maximum length of a frame in bytes. */
    public static final int MAXIMUM_FRAME_LENGTH = 8 * 1024 * 1024;

    /** The default maximum number of queued messages for one peer. */
    private static final int MAXIMUM_QUEUED_MESSAGES = 4096;

    /** The default maximum number of queued bytes for one peer. */
    private static final long MAXIMUM_QUEUED_BYTES = 2L * MAXIMUM_FRAME_LENGTH;

    /** The default maximum number of incoming connections. */
    private static final int MAXIMUM_INCOMING_CONNECTIONS = 4096;

    /**
     * Creates the default settings of a node.
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
                MAXIMUM_QUEUED_MESSAGES,
                MAXIMUM_QUEUED_BYTES,
                MAXIMUM_INCOMING_CONNECTIONS,
                Duration.ofSeconds(2),
                Duration.ofSeconds(5),
                Duration.ofSeconds(30),
                Duration.ofMillis(50),
                Duration.ofSeconds(2));
    }
}
