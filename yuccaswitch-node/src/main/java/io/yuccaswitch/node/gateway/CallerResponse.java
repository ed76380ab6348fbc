package io.yuccaswitch.node.gateway;

import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import okhttp3.Headers;

/** Writes the answer to one caller. */
final class CallerResponse {

    /** The header that states the delay before a retry, in seconds with fractions. */
    private static final String RETRY_AFTER = "Retry-After";

    /** The header that requests the caller to close its connection. */
    private static final String CONNECTION = "Connection";

    /** The header with the length of the body. */
    private static final String CONTENT_LENGTH = "Content-Length";

    /** The header with the coding in which the body is transferred. */
    private static final String TRANSFER_ENCODING = "Transfer-Encoding";

    /** The status of an answer without content. */
    private static final int NO_CONTENT = 204;

    /** The status of an answer whose content the caller has already. */
    private static final int NOT_MODIFIED = 304;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The server's response. */
    private final HttpServletResponse response;

    /** The connection of the caller. */
    private final ClientConnection connection;

    /** Whether the caller asked for the head of an answer only. */
    private final boolean isHead;

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
        isHead = context.method().equals(HandlerType.HEAD);
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
        writeHead(answer.status(), answer.headers(), headerFilter);
        OptionalLong length = contentLength(answer);
        length.ifPresent(response::setContentLengthLong);
        if (length.isEmpty()) {
            // Otherwise the server states the length of the body that it was given, which is zero.
            response.flushBuffer();
        }
        connection.release();
        response.getOutputStream().write(answer.body().unsafeArray());
        response.getOutputStream().close();
    }

    /**
     * Starts to forward a stream. It is sent in chunks even if the connection is closed after it: if the end of the
     * connection delimited it, the beginning of a stream that was aborted would look complete.
     *
     * @param status The status.
     * @param headers The headers.
     * @param headerFilter Selects the headers that are forwarded.
     */
    void begin(int status, Headers headers, Predicate<String> headerFilter) {
        writeHead(status, headers, headerFilter);
        response.setHeader(TRANSFER_ENCODING, "chunked");
    }

    /**
     * Starts an answer. Its headers replace those that the server states by default.
     *
     * @param status The status.
     * @param headers The headers.
     * @param headerFilter Selects the headers that are forwarded.
     */
    private void writeHead(int status, Headers headers, Predicate<String> headerFilter) {
        response.setStatus(status);
        response.setContentType(null);
        Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach(header -> {
            if (!headerFilter.test(header.getFirst())) {
                return;
            }
            if (names.add(header.getFirst())) {
                response.setHeader(header.getFirst(), header.getSecond());
            } else {
                response.addHeader(header.getFirst(), header.getSecond());
            }
        });
        closeIfLeaving();
    }

    /**
     * Returns the length that is stated to the caller.
     *
     * @param answer The answer.
     * @return The length, or empty where an answer without a body states the length of another one, which only the
     *     endpoint knows.
     */
    private OptionalLong contentLength(AttemptResult.Complete answer) {
        if (answer.status() == NOT_MODIFIED) {
            return OptionalLong.empty();
        }
        if (!isHead) {
            return OptionalLong.of(answer.body().size());
        }
        String stated = answer.headers().get(CONTENT_LENGTH);
        return stated == null || answer.status() == NO_CONTENT
                ? OptionalLong.empty()
                : OptionalLong.of(Long.parseLong(stated));
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
