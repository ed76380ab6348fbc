package io.yuccaswitch.node.gateway;

import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * The connection of a caller whose request is being served. The server does not read from it meanwhile, so this class
 * looks whether the caller has closed it.
 */
final class ClientConnection {

    /** The connection. */
    private final EndPoint endPoint;

    /** Whether the answer may have ended, after which the server reads from the connection again. */
    private boolean released;

    /** Whether the caller has closed the connection. */
    private boolean gone;

    /** Whether the caller sent bytes ahead, which can't be served any more. */
    private boolean spoiled;

    /**
     * Creates a view of a connection.
     *
     * @param endPoint The connection.
     */
    private ClientConnection(EndPoint endPoint) {
        this.endPoint = endPoint;
    }

    /**
     * Returns the connection of a request whose body was read whole.
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
     * Looks whether the caller has closed the connection.
     *
     * @return {@code true} if it has.
     */
    synchronized boolean isGone() {
        if (released || gone || spoiled) {
            return gone;
        }
        try {
            int read = endPoint.fill(BufferUtil.allocate(1));
            gone = read < 0;
            spoiled = read > 0;
        } catch (IOException _exception) {
            gone = true;
        }
        return gone;
    }

    /**
     * Notes that the answer is about to end, after which this class must not read any more.
     *
     * @return {@code true} if the connection can serve further requests.
     */
    synchronized boolean release() {
        released = true;
        return !gone && !spoiled;
    }

    /** Closes the connection at once, such that an answer that has begun looks broken off. */
    void abort() {
        synchronized (this) {
            released = true;
        }
        endPoint.close();
    }
}
