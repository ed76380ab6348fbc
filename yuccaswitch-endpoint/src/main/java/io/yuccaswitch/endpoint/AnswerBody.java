package io.yuccaswitch.endpoint;

import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.util.Optional;
import okhttp3.Response;
import okio.Buffer;
import okio.BufferedSource;

/** Reads complete response bodies up to a maximum size. */
final class AnswerBody {

    /** The maximum number of bytes that one read requests. */
    private static final long READ_CHUNK_BYTES = 8192;

    /** The HTTP status "No Content", whose answers have no body. */
    private static final int NO_CONTENT = 204;

    /** The HTTP status "Not Modified", whose answers have no body. */
    private static final int NOT_MODIFIED = 304;

    /** This class has no instances. */
    private AnswerBody() {}

    /**
     * Reads a complete body.
     *
     * @param response The answer.
     * @param maximum The maximum number of bytes that is accepted.
     * @return The body.
     * @throws IOException If the body is too large or truncated, or if its framing could not reveal truncation.
     */
    static Bytes read(Response response, long maximum) throws IOException {
        requireDelimitedBody(response);
        return readToEnd(response, maximum).orElseThrow(() -> new AnswerException(FailureCodes.ANSWER_TOO_LARGE));
    }

    /**
     * Reads a complete body, which the end of the connection may delimit.
     *
     * @param response The answer.
     * @param maximum The maximum number of bytes that is accepted.
     * @return The body, or empty if it is too large.
     * @throws IOException If the body is truncated.
     */
    static Optional<Bytes> readToEnd(Response response, long maximum) throws IOException {
        Buffer content = new Buffer();
        BufferedSource source = response.body().source();
        while (source.read(content, READ_CHUNK_BYTES) >= 0) {
            if (content.size() > maximum) {
                return Optional.empty();
            }
        }
        return Optional.of(Bytes.wrap(content.readByteArray()));
    }

    /**
     * Rejects an answer whose body is delimited only by the end of the connection, since a truncated body would look
     * the same.
     *
     * @param response The answer.
     * @throws IOException If the body has neither a length nor chunked framing.
     */
    static void requireDelimitedBody(Response response) throws IOException {
        boolean empty = response.request().method().equals("HEAD")
                || response.code() == NO_CONTENT
                || response.code() == NOT_MODIFIED;
        boolean chunked = "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
        if (!empty && !chunked && response.body().contentLength() < 0) {
            throw new AnswerException(FailureCodes.CONNECTION_LOST);
        }
    }
}
