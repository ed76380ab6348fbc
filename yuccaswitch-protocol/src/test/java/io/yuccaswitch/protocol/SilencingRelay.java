package io.yuccaswitch.protocol;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** Passes connections on to a target, and lets those that are open fall silent without closing them. */
final class SilencingRelay implements AutoCloseable {

    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final InetSocketAddress target;
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private final AtomicLong answered = new AtomicLong();

    SilencingRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        daemon(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Returns the number of bytes that the target has sent behind the first read of each connection. */
    long answeredBytes() {
        return answered.get();
    }

    /** Returns the number of connections that were made. */
    int connections() {
        return links.size();
    }

    void silenceOpenConnections() {
        links.forEach(link -> link.silent = true);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Link link : links) {
            link.near.close();
            link.far.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket near = server.accept();
                Link link = new Link(near, new Socket(target.getAddress(), target.getPort()));
                links.add(link);
                daemon(() -> link.pump(link.near, link.far, false));
                daemon(() -> link.pump(link.far, link.near, true));
            }
        } catch (IOException _exception) {
            // The relay was closed.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private final class Link {

        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void pump(Socket from, Socket to, boolean answers) {
            byte[] buffer = new byte[8192];
            boolean first = true;
            try {
                InputStream input = from.getInputStream();
                for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                    if (!silent) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                    if (answers && !first) {
                        answered.addAndGet(count);
                    }
                    first = false;
                }
            } catch (IOException _exception) {
                // The connection has ended.
            }
        }
    }
}
