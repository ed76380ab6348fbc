package io.yuccaswitch.testkit.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A server that answers each request with bytes that never end, until its peer closes the connection. It sends them as
 * fast as the peer reads them, or as a drip of single bytes.
 */
public final class EndlessServer implements AutoCloseable {

    /** The placeholder in an answer that is replaced by the identifier of the request. */
    public static final String ID = "{id}";

    /** The minimum number of bytes of one write of an answer that is not a drip. */
    private static final int CHUNK_BYTES = 16 * 1024;

    /** The length of the queue of connections that were not yet accepted. */
    private static final int BACKLOG = 256;

    /** The header that contains the length of a request's body. */
    private static final Pattern LENGTH = Pattern.compile("(?i)\ncontent-length: *(\\d+)");

    /** The header that contains the identifier of a request. */
    private static final Pattern REQUEST_ID = Pattern.compile("(?i)\n(?:x-)?request-id: *(\\S+)");

    /** The socket. */
    private final ServerSocket socket;

    /** The beginning of each answer. */
    private final String beginning;

    /** Returns the parts that follow the beginning, by their positions from one on. */
    private final LongFunction<String> parts;

    /** The pause after each byte, or zero to send as fast as the peer reads. */
    private final Duration pause;

    /** The open connections. */
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** The number of received requests. */
    private final AtomicInteger requests = new AtomicInteger();

    /**
     * Starts a server on a free port of the loopback interface.
     *
     * @param beginning The beginning of each answer.
     * @param parts Returns the parts that follow the beginning, by their positions from one on.
     * @param pause The pause after each byte, or zero to send as fast as the peer reads.
     */
    public EndlessServer(String beginning, LongFunction<String> parts, Duration pause) {
        this.beginning = beginning;
        this.parts = parts;
        this.pause = pause;
        try {
            socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        start(this::accept);
    }

    /**
     * Returns the address of this server.
     *
     * @return The address as host:port.
     */
    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /**
     * Returns the number of received requests.
     *
     * @return The number.
     */
    public int requests() {
        return requests.get();
    }

    /**
     * Returns the number of connections that neither side has closed.
     *
     * @return The number, which drops once a write or a read fails.
     */
    public int openConnections() {
        return connections.size();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        try {
            socket.close();
            for (Socket connection : connections) {
                connection.close();
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Runs a task on a daemon thread.
     *
     * @param task The task.
     */
    private static void start(Runnable task) {
        Thread thread = new Thread(task, "endless-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Accepts connections until the socket is closed. */
    private void accept() {
        try {
            while (true) {
                Socket connection = socket.accept();
                connections.add(connection);
                start(() -> serve(connection));
            }
        } catch (IOException _exception) {
            // The server was closed.
        }
    }

    /**
     * Answers the requests of a connection until the peer closes it.
     *
     * @param connection The connection.
     */
    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(connection.getInputStream());
            String head = readHead(input);
            if (!head.isEmpty()) {
                Matcher length = LENGTH.matcher(head);
                input.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
                requests.incrementAndGet();
                Matcher id = REQUEST_ID.matcher(head);
                answer(connection.getOutputStream(), id.find() ? id.group(1) : "");
            }
        } catch (IOException _exception) {
            // The peer closed the connection, as every peer has to.
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(connection);
        }
    }

    /**
     * Reads the head of a request.
     *
     * @param input The bytes of the connection.
     * @return The head, or an empty string if the connection ended.
     * @throws IOException If the connection failed.
     */
    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        int next = input.read();
        while (next >= 0) {
            head.append((char) next);
            if (next == '\n' && head.toString().endsWith("\r\n\r\n")) {
                return head.toString();
            }
            next = input.read();
        }
        return "";
    }

    /**
     * Writes an answer without end.
     *
     * @param output The connection.
     * @param id The identifier of the request.
     * @throws IOException If the peer closed the connection.
     * @throws InterruptedException If the thread was interrupted.
     */
    private void answer(OutputStream output, String id) throws IOException, InterruptedException {
        write(output, beginning.replace(ID, id));
        long position = 1;
        while (true) {
            StringBuilder chunk = new StringBuilder();
            do {
                chunk.append(parts.apply(position).replace(ID, id));
                position++;
            } while (pause.isZero() && chunk.length() < CHUNK_BYTES);
            if (pause.isZero()) {
                write(output, chunk.toString());
                continue;
            }
            for (int index = 0; index < chunk.length(); index++) {
                write(output, chunk.substring(index, index + 1));
                TimeUnit.NANOSECONDS.sleep(pause.toNanos());
            }
        }
    }

    /**
     * Writes a part of an answer.
     *
     * @param output The connection.
     * @param text The part.
     * @throws IOException If the peer closed the connection.
     */
    private void write(OutputStream output, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        output.write(bytes);
        output.flush();
    }
}
