package io.yuccaswitch.node.gateway;

import io.javalin.http.Context;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;
import okhttp3.Headers;

/** Writes the answer to one caller. */
final class CallerResponse {

    /** The header that tells when to come back, in seconds with fractions. */
    private static final String RETRY_AFTER = "Retry-After";

    /** The header that asks the caller to close its connection. */
    private static final String CONNECTION = "Connection";

    /** The milliseconds of a second. */
    private static final double MILLIS = 1000;

    /** The server's response. */
    private final HttpServletResponse response;

    /** The caller's connection. */
    private final ClientConnection connection;

    /** Whether the node is about to stop, such that connections are not kept. */
    private final boolean closing;

    /**
     * Creates a writer.
     *
     * @param context The request.
     * @param connection The caller's connection.
     * @param closing Whether connections are not kept.
     */
    CallerResponse(Context context, ClientConnection connection, boolean closing) {
        response = context.res();
        this.connection = connection;
        this.closing = closing;
    }

    /**
     * Passes a whole answer on.
     *
     * @param answer The answer.
     * @param passes Whether a header is passed on.
     * @throws IOException If the caller has gone.
     */
    void pass(AttemptResult.Whole answer, Predicate<String> passes) throws IOException {
        begin(answer.status(), answer.headers(), passes);
        response.setContentLength(answer.body().size());
        connection.release();
        response.getOutputStream().write(answer.body().unsafeArray());
        response.getOutputStream().close();
    }

    /**
     * Begins to pass a stream on.
     *
     * @param status The status.
     * @param headers The headers.
     * @param passes Whether a header is passed on.
     */
    void begin(int status, Headers headers, Predicate<String> passes) {
        response.setStatus(status);
        headers.forEach(header -> {
            if (passes.test(header.getFirst())) {
                response.addHeader(header.getFirst(), header.getSecond());
            }
        });
        closeIfLeaving();
    }

    /**
     * Passes bytes of a stream on at once.
     *
     * @param bytes The bytes.
     * @throws IOException If the caller has gone.
     */
    void write(byte[] bytes) throws IOException {
        response.getOutputStream().write(bytes);
        response.flushBuffer();
    }

    /**
     * Ends a stream that is whole.
     *
     * @throws IOException If the caller has gone.
     */
    void end() throws IOException {
        connection.release();
        response.getOutputStream().close();
    }

    /** Breaks the answer off, such that it does not look whole. */
    void abort() {
        connection.abort();
    }

    /**
     * Answers with a status and a text of the node's own.
     *
     * @param status The status.
     * @param text The body, which tells the reason.
     * @param retryAfter When to come back, if that helps.
     * @throws IOException If the caller has gone.
     */
    void answerText(int status, String text, Optional<Duration> retryAfter) throws IOException {
        byte[] body = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        response.setStatus(status);
        retryAfter.ifPresent(
                time -> response.setHeader(RETRY_AFTER, String.format(Locale.ROOT, "%.2f", time.toMillis() / MILLIS)));
        answer("text/plain", body);
    }

    /**
     * Answers with a body of the node's own.
     *
     * @param contentType The type of the body.
     * @param body The body.
     * @throws IOException If the caller has gone.
     */
    void answer(String contentType, byte[] body) throws IOException {
        closeIfLeaving();
        response.setContentType(contentType);
        response.setContentLength(body.length);
        connection.release();
        response.getOutputStream().write(body);
        response.getOutputStream().close();
    }

    /** Asks the caller to use another node for its next request, if this one is about to stop. */
    private void closeIfLeaving() {
        if (closing) {
            response.setHeader(CONNECTION, "close");
        }
    }
}
