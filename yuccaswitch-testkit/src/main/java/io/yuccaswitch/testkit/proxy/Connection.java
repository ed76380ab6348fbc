package io.yuccaswitch.testkit.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A connection through a link, with the threads that forward its bytes. */
final class Connection {

    /** The number of threads that must end before the connection is closed. */
    private static final int THREADS = 4;

    /** The socket of the process that connected. */
    private final Socket client;

    /** The socket to the target, connected once the link lets bytes through. */
    private final Socket server = new Socket();

    /** The link. */
    private final Link link;

    /** The threads that were started. */
    private final List<Thread> threads = new ArrayList<>();

    /** The number of threads that still run. */
    private final AtomicInteger running = new AtomicInteger(THREADS);

    /**
     * Creates a connection.
     *
     * @param client The socket of the process that connected.
     * @param link The link.
     */
    Connection(Socket client, Link link) {
        this.client = client;
        this.link = link;
    }

    /** Starts to connect to the target and to forward bytes, without waiting for it. */
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
        link.forget(this);
    }

    /**
     * Starts the threads of a pump.
     *
     * @param pump The pump.
     */
    private void startPump(Pump pump) {
        startThread("read", () -> {
            pump.read();
            finished();
        });
        startThread("write", () -> {
            pump.write();
            finished();
        });
    }

    /** Notes that a thread of a pump ended, and closes the connection after the last one. */
    private void finished() {
        if (running.decrementAndGet() == 0) {
            closeSocket(client);
            closeSocket(server);
            link.forget(this);
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
        Thread thread = new Thread(null, guarded, "proxy-" + name, Link.STACK_SIZE);
        thread.setDaemon(true);
        synchronized (threads) {
            threads.add(thread);
        }
        thread.start();
    }

    /**
     * Closes a socket such that the other side sees a reset.
     *
     * @param socket The socket.
     */
    private static void resetSocket(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException _exception) {
            // The socket is closed already.
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
            // Nothing is left to be done with it.
        }
    }

    /** The work of a thread. */
    @FunctionalInterface
    private interface Work {

        /**
         * Does the work.
         *
         * @throws IOException If the connection breaks.
         * @throws InterruptedException If the connection ends meanwhile.
         */
        void run() throws IOException, InterruptedException;
    }
}
