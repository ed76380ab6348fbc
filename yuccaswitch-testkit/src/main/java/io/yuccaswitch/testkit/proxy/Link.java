package io.yuccaswitch.testkit.proxy;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A port on the loopback address whose connections are forwarded to a target, subject to injected faults. */
public final class Link implements AutoCloseable {

    /** The stack size of the threads. */
    static final long STACK_BYTES = 128 << 10;

    /** The loopback address. */
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** The maximum number of connections that wait to be accepted. */
    private static final int BACKLOG = 1024;

    /** The address of the target. */
    private final InetSocketAddress target;

    /** The active faults. */
    private final ActiveFaults faults = new ActiveFaults();

    /** The open connections. */
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    /** The number of forwarded bytes by direction. */
    private final Map<Direction, AtomicLong> totals = new EnumMap<>(Direction.class);

    /** The number of accepted connections. */
    private final AtomicLong accepted = new AtomicLong();

    /** The port, which stays the same while the link refuses connections. */
    private final int port;

    /** The thread that accepts connections on the listening socket. */
    private Thread acceptor = new Thread();

    /** The listening socket, closed while the link refuses connections. */
    private ServerSocket listener;

    /** A socket that reserves the port without listening while the link refuses connections. */
    private Socket portHolder = new Socket();

    /**
     * Creates a link that listens.
     *
     * @param port The port on the loopback address, or zero for any free one.
     * @param target The address of the target.
     */
    public Link(int port, InetSocketAddress target) {
        this.target = target;
        for (Direction direction : Direction.values()) {
            totals.put(direction, new AtomicLong());
        }
        try {
            listener = listen(port);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        this.port = listener.getLocalPort();
    }

    /**
     * Returns the port.
     *
     * @return The port on the loopback address.
     */
    public int port() {
        return port;
    }

    /**
     * Applies faults.
     *
     * @param newFaults The faults, which replace all earlier ones.
     */
    public synchronized void apply(LinkFaults newFaults) {
        try {
            if (newFaults.mode() == LinkMode.REFUSE) {
                refuse();
            } else if (listener.isClosed()) {
                portHolder.close();
                listener = listen(port);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        faults.change(newFaults);
    }

    /** Resets all open connections. */
    public void cutConnections() {
        connections.forEach(Connection::reset);
    }

    /**
     * Returns the counts of this link.
     *
     * @return The counts.
     */
    public Counts counts() {
        return new Counts(
                accepted.get(),
                connections.size(),
                totals.get(Direction.UP).get(),
                totals.get(Direction.DOWN).get());
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void close() {
        try {
            listener.close();
            portHolder.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        cutConnections();
    }

    /**
     * Returns the address of the target.
     *
     * @return The address.
     */
    InetSocketAddress target() {
        return target;
    }

    /**
     * Returns the active faults.
     *
     * @return The faults.
     */
    ActiveFaults faults() {
        return faults;
    }

    /**
     * Returns the count of forwarded bytes.
     *
     * @param direction The direction.
     * @return The count.
     */
    AtomicLong total(Direction direction) {
        return totals.get(direction);
    }

    /**
     * Removes a closed connection.
     *
     * @param connection The connection.
     */
    void removeConnection(Connection connection) {
        connections.remove(connection);
    }

    /**
     * Stops listening and reserves the port. The port becomes free only after the accepting thread has returned from
     * the closed socket.
     *
     * @throws IOException If the port cannot be reserved.
     */
    private void refuse() throws IOException {
        if (listener.isClosed()) {
            return;
        }
        listener.close();
        Uninterruptibles.joinUninterruptibly(acceptor);
        portHolder = new Socket();
        portHolder.setReuseAddress(true);
        portHolder.bind(new InetSocketAddress(LOOPBACK, port));
    }

    /**
     * Starts listening, and starts a thread that accepts connections.
     *
     * @param wantedPort The port, or zero for any free one.
     * @return The listening socket.
     * @throws IOException If the port is in use.
     */
    private ServerSocket listen(int wantedPort) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(LOOPBACK, wantedPort), BACKLOG);
        acceptor = new Thread(null, () -> accept(socket), "proxy-accept", STACK_BYTES);
        acceptor.setDaemon(true);
        acceptor.start();
        return socket;
    }

    /**
     * Accepts connections until the socket is closed.
     *
     * @param socket The listening socket.
     */
    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Connection connection = new Connection(socket.accept(), this);
                accepted.incrementAndGet();
                connections.add(connection);
                connection.start();
            } catch (IOException _exception) {
                // The socket was closed, or a client disconnected before its connection was accepted.
            }
        }
    }

    /**
     * Counts of a link.
     *
     * @param accepted The number of accepted connections.
     * @param open The number of open connections.
     * @param bytesUp The number of bytes forwarded to the target.
     * @param bytesDown The number of bytes forwarded from the target.
     */
    public record Counts(long accepted, long open, long bytesUp, long bytesDown) {}
}
