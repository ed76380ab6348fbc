package io.yuccaswitch.testkit.http;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** A server that can end its connections within an answer, at any byte. */
public final class CutServer implements AutoCloseable {

    /** The text in answers that stands for the identifier of the request. */
    public static final String REQUEST_ID = "{id}";

    /** How long the peer may take to read what was written before the connection is reset, in milliseconds. */
    private static final long RESET_DELAY_MILLIS = 1;

    /** The server. */
    private final RawServer server;

    /** How requests are answered. */
    private volatile Cut cut = new Cut("", 0, End.NONE);

    /**
     * Starts a server on a free port of the loopback interface.
     *
     * @throws IOException If no port is free.
     */
    public CutServer() throws IOException {
        server = new RawServer((_request, id, connection) -> serve(cut, id, connection));
    }

    /**
     * Returns the address of this server.
     *
     * @return The address as host:port.
     */
    public String address() {
        return server.address();
    }

    /**
     * Returns the number of received requests.
     *
     * @return The number.
     */
    public int requests() {
        return server.requests();
    }

    /**
     * Makes the server answer requests completely and keep their connections.
     *
     * @param answer The answer.
     */
    public void answer(String answer) {
        cut = new Cut(answer, 0, End.NONE);
    }

    /**
     * Makes the server end connections within answers.
     *
     * @param answer The answer.
     * @param missingBytes The number of bytes at the end of the answer that are not written. If it exceeds the length
     *     of the answer, nothing is written.
     * @param end How the connection ends.
     */
    public void cut(String answer, int missingBytes, End end) {
        cut = new Cut(answer, missingBytes, end);
    }

    /** {@inheritDoc} */
    @Override
    public void close() throws IOException {
        server.close();
    }

    /**
     * Answers a request.
     *
     * @param cut How it is answered.
     * @param requestId The identifier of the request.
     * @param connection The connection.
     * @throws IOException If the connection has ended.
     * @throws InterruptedException If the thread is interrupted.
     */
    private static void serve(Cut cut, String requestId, Socket connection) throws IOException, InterruptedException {
        String answer = cut.answer().replace(REQUEST_ID, requestId);
        RawServer.write(connection, answer.substring(0, Math.max(0, answer.length() - cut.missingBytes())));
        if (cut.end() == End.RESET) {
            TimeUnit.MILLISECONDS.sleep(RESET_DELAY_MILLIS);
            connection.setSoLinger(true, 0);
        }
        if (cut.end() != End.NONE) {
            connection.close();
        }
    }

    /** How a connection ends. */
    public enum End {
        /** It does not end. */
        NONE,
        /** The server closes it. */
        FINISH,
        /** The server resets it. */
        RESET
    }

    /**
     * How requests are answered.
     *
     * @param answer The answer.
     * @param missingBytes The number of bytes at its end that are not written.
     * @param end How the connection ends.
     */
    private record Cut(String answer, int missingBytes, End end) {}
}
