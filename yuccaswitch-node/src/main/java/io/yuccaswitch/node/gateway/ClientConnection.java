package io.yuccaswitch.node.gateway;

import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.BufferUtil;

/**
 * The connection of a caller whose request is being served. The server does not read from it during that time, so this
 * class detects whether the caller has closed it.
 */
final class ClientConnection {

    /** The connection. */
    private final EndPoint endPoint;

    /** Whether the answer may have ended, so that the server reads from the connection again. */
    private boolean released;

    /** Whether the caller has closed the connection. */
    private boolean disconnected;

    /** The first byte of the next request, if a check has read it, until the server gets it back. */
    private final ByteBuffer earlyByte = BufferUtil.allocate(1);

    /** Whether the caller has begun to send its next request, after which this class reads nothing. */
    private boolean receivedEarlyBytes;

    /**
     * Creates a view of a connection.
     *
     * @param endPoint The connection.
     */
    private ClientConnection(EndPoint endPoint) {
        this.endPoint = endPoint;
    }

    /**
     * Returns the connection of a request whose body was read completely.
     *
     * @param request The request.
     * @return The connection.
     */
    static ClientConnection of(HttpServletRequest request) {
        return new ClientConnection(ServletContextRequest.getServletContextRequest(request)
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint());
    }

    /**
     * Checks whether the caller has closed the connection.
     *
     * @return {@code true} if it has.
     */
    synchronized boolean isDisconnected() {
        if (released || disconnected || receivedEarlyBytes) {
            return disconnected;
        }
        if (!hasEmptyBuffer()) {
            receivedEarlyBytes = true;
            return false;
        }
        try {
            int read = endPoint.fill(earlyByte);
            disconnected = read < 0;
            receivedEarlyBytes = read > 0;
        } catch (IOException _exception) {
            disconnected = true;
        }
        return disconnected;
    }

    /**
     * Records that the answer is about to end, after which this class must not read from the connection. The server
     * gets back the byte that a check has read. Its buffer is empty then, so the byte is the first one of the next
     * request.
     */
    synchronized void release() {
        if (!released && earlyByte.hasRemaining() && endPoint.getConnection() instanceof Connection.UpgradeTo server) {
            server.onUpgradeTo(earlyByte);
        }
        released = true;
    }

    /**
     * Returns whether the server has read nothing beyond the current request.
     *
     * @return {@code false} if it has, or if its connection has no buffer that could take back a byte.
     */
    private boolean hasEmptyBuffer() {
        return endPoint.getConnection() instanceof HttpConnection server && server.isRequestBufferEmpty();
    }

    /** Closes the connection at once, so that the caller sees that a started answer is incomplete. */
    void abort() {
        synchronized (this) {
            released = true;
        }
        endPoint.close();
    }
}
