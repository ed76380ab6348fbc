package io.yuccaswitch.testkit.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A connection through a link, with the threads that forward its data. */
final class Connection {

    /** The number of pump threads, all of which must end before the connection is closed. */
    private static final int PUMP_THREADS = 4;

    /** The socket of the connecting process. */
    private final Socket client;

    /** The socket to the target, which is connected as soon as the link forwards data. */
    private final Socket server = new Socket();

    /** The link. */
    private final Link link;

    /** The threads that were started. */
    private final List<Thread> threads = new ArrayList<>();

    /** The number of pump threads that are still running. */
    private final AtomicInteger running = new AtomicInteger(PUMP_THREADS);

    /**
     * Creates a connection.
     *
     * @param client The socket of the connecting process.
     * @param link The link.
     */
    Connection(Socket client, Link link) {
        this.client = client;
        this.link = link;
    }

    /** Starts connecting to the target and forwarding data, without blocking. */
    void start() {
        startThread("connect", () -> {
            link.faults().awaitOpen(Direction.UP);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            server.connect(link.target());
            startPump(new Pump(Direction.UP, client, server, link.faults(), link.total(Direction.UP)));
            startPump(new Pump(Direction.DOWN, server, client, link.faults(), link.total(Direction.DOWN)));
        });
    }

    /** Resets both sides of the connection. */
    void reset() {
        resetSocket(client);
        resetSocket(server);
        synchronized (threads) {
            threads.forEach(Thread::interrupt);
        }
        link.removeConnection(this);
    }

    /**
     * Starts the threads of a pump.
     *
     * @param pump The pump.
     */
    private void startPump(Pump pump) {
        startThread("read", () -> {
            pump.read();
            onPumpThreadEnded();
        });
        startThread("write", () -> {
            pump.write();
            onPumpThreadEnded();
        });
    }

    /** Records the end of a pump thread, and closes the connection after the last one. */
    private void onPumpThreadEnded() {
        if (running.decrementAndGet() == 0) {
            closeSocket(client);
            closeSocket(server);
            link.removeConnection(this);
        }
    }

    /**
     * Starts a thread whose failure resets the connection.
     *
     * @param name The thread's name.
     * @param work The work of the thread.
     */
    private void startThread(String name, Work work) {
        Runnable guarded = () -> {
            try {
                work.run();
            } catch (IOException | InterruptedException _exception) {
                reset();
            }
        };
        Thread thread = new Thread(null, guarded, "proxy-" + name, Link.STACK_BYTES);
        thread.setDaemon(true);
        synchronized (threads) {
            threads.add(thread);
        }
        thread.start();
    }

    /**
     * Closes a socket such that its peer receives a reset.
     *
     * @param socket The socket.
     */
    private static void resetSocket(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException _exception) {
            // The socket is already closed.
        }
        closeSocket(socket);
    }

    /**
     * Closes a socket.
     *
     * @param socket The socket.
     */
    private static void closeSocket(Socket socket) {
        try {
            socket.close();
        } catch (IOException _exception) {
            // A failure to close a socket needs no handling.
        }
    }

    /** The task of a thread. */
    @FunctionalInterface
    private interface Work {

        /**
         * Executes the task.
         *
         * @throws IOException If the connection breaks.
         * @throws InterruptedException If the connection ends in the meantime.
         */
        void run() throws IOException, InterruptedException;
    }
}
