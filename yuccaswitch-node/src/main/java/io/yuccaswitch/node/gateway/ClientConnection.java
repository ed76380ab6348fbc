package io.yuccaswitch.node.gateway;

import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;
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

    /**
     * Whether the caller sent bytes early. They were consumed by the check, so the connection can't serve further
     * requests.
     */
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
        try {
            int read = endPoint.fill(BufferUtil.allocate(1));
            disconnected = read < 0;
            receivedEarlyBytes = read > 0;
        } catch (IOException _exception) {
            disconnected = true;
        }
        return disconnected;
    }

    /**
     * Records that the answer is about to end, after which this class must not read from the connection.
     *
     * @return {@code true} if the connection can serve further requests.
     */
    synchronized boolean release() {
        released = true;
        return !disconnected && !receivedEarlyBytes;
    }

    /** Closes the connection at once, so that the caller sees that a started answer is incomplete. */
    void abort() {
        synchronized (this) {
            released = true;
        }
        endPoint.close();
    }
}
