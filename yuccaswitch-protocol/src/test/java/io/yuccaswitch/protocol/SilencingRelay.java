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

/** A TCP relay to a target that can stop forwarding on its open connections without closing them. */
final class SilencingRelay implements AutoCloseable {

    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final InetSocketAddress target;
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private final AtomicLong answered = new AtomicLong();

    SilencingRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        startDaemon(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Returns the number of bytes that the target has sent after the first read of each connection. */
    long answeredBytes() {
        return answered.get();
    }

    /** Returns the number of accepted connections. */
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
            link.clientSocket.close();
            link.targetSocket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket clientSocket = server.accept();
                Link link = new Link(clientSocket, new Socket(target.getAddress(), target.getPort()));
                links.add(link);
                startDaemon(() -> link.forward(link.clientSocket, link.targetSocket, false));
                startDaemon(() -> link.forward(link.targetSocket, link.clientSocket, true));
            }
        } catch (IOException _exception) {
            // The relay was closed.
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private final class Link {

        private final Socket clientSocket;
        private final Socket targetSocket;
        private volatile boolean silent;

        Link(Socket clientSocket, Socket targetSocket) {
            this.clientSocket = clientSocket;
            this.targetSocket = targetSocket;
        }

        void forward(Socket from, Socket to, boolean answers) {
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
