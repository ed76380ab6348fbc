package io.yuccaswitch.node.gateway;

import io.javalin.http.Context;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import okhttp3.Headers;

/** Writes the answer to one caller. */
final class CallerResponse {

    /** The header that states the delay before a retry, in seconds with fractions. */
    private static final String RETRY_AFTER = "Retry-After";

    /** The header that requests the caller to close its connection. */
    private static final String CONNECTION = "Connection";

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The server's response. */
    private final HttpServletResponse response;

    /** The connection of the caller. */
    private final ClientConnection connection;

    /** Returns whether the node is about to stop, so that connections are not kept alive. */
    private final BooleanSupplier closing;

    /**
     * Creates a writer.
     *
     * @param context The request.
     * @param connection The connection of the caller.
     * @param closing Returns whether the node is about to stop, so that connections are not kept alive.
     */
    CallerResponse(Context context, ClientConnection connection, BooleanSupplier closing) {
        response = context.res();
        this.connection = connection;
        this.closing = closing;
    }

    /**
     * Forwards a complete answer.
     *
     * @param answer The answer.
     * @param headerFilter Selects the headers that are forwarded.
     * @throws IOException If the caller has disconnected.
     */
    void forward(AttemptResult.Complete answer, Predicate<String> headerFilter) throws IOException {
        begin(answer.status(), answer.headers(), headerFilter);
        response.setContentLength(answer.body().size());
        connection.release();
        response.getOutputStream().write(answer.body().unsafeArray());
        response.getOutputStream().close();
    }

    /**
     * Starts to forward a stream.
     *
     * @param status The status.
     * @param headers The headers.
     * @param headerFilter Selects the headers that are forwarded.
     */
    void begin(int status, Headers headers, Predicate<String> headerFilter) {
        response.setStatus(status);
        headers.forEach(header -> {
            if (headerFilter.test(header.getFirst())) {
                response.addHeader(header.getFirst(), header.getSecond());
            }
        });
        closeIfLeaving();
    }

    /**
     * Forwards bytes of a stream and flushes them.
     *
     * @param bytes The bytes.
     * @throws IOException If the caller has disconnected.
     */
    void write(byte[] bytes) throws IOException {
        response.getOutputStream().write(bytes);
        response.flushBuffer();
    }

    /**
     * Ends a complete stream.
     *
     * @throws IOException If the caller has disconnected.
     */
    void end() throws IOException {
        connection.release();
        response.getOutputStream().close();
    }

    /** Closes the connection before the end of the answer, so that the caller sees that the answer is incomplete. */
    void abort() {
        connection.abort();
    }

    /**
     * Answers with a status and a text that the node produces itself.
     *
     * @param status The status.
     * @param text The body, which states the reason.
     * @param retryAfter The delay before a retry, if a retry can succeed.
     * @throws IOException If the caller has disconnected.
     */
    void answerText(int status, String text, Optional<Duration> retryAfter) throws IOException {
        byte[] body = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        response.setStatus(status);
        retryAfter.ifPresent(delay -> response.setHeader(
                RETRY_AFTER, String.format(Locale.ROOT, "%.2f", delay.toMillis() / MILLIS_PER_SECOND)));
        answer("text/plain", body);
    }

    /**
     * Answers with a body that the node produces itself.
     *
     * @param contentType The type of the body.
     * @param body The body.
     * @throws IOException If the caller has disconnected.
     */
    void answer(String contentType, byte[] body) throws IOException {
        closeIfLeaving();
        response.setContentType(contentType);
        response.setContentLength(body.length);
        connection.release();
        response.getOutputStream().write(body);
        response.getOutputStream().close();
    }

    /**
     * Requests that the caller closes its connection, if this node is about to stop, so that its next request goes to
     * another node.
     */
    private void closeIfLeaving() {
        if (closing.getAsBoolean()) {
            response.setHeader(CONNECTION, "close");
        }
    }
}
