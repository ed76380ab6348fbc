package io.yuccaswitch.endpoint;

import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import okhttp3.Response;
import okio.Buffer;
import okio.BufferedSource;

/** Reads bodies of answers whole, up to a bound. */
final class AnswerBody {

    /** The number of bytes that are read at a time. */
    private static final long PIECE_SIZE = 8192;

    /** The status of an answer without content. */
    private static final int NO_CONTENT = 204;

    /** The status of an answer that says that nothing has changed, which has no body. */
    private static final int NOT_MODIFIED = 304;

    /** This class has no instances. */
    private AnswerBody() {}

    /**
     * Reads a body whole.
     *
     * @param response The answer.
     * @param maximum The largest number of bytes that is accepted.
     * @return The body.
     * @throws IOException If the body is too large, breaks off, or could break off without being noticed.
     */
    static Bytes read(Response response, long maximum) throws IOException {
        requireVisibleEnd(response);
        Buffer content = new Buffer();
        BufferedSource source = response.body().source();
        while (source.read(content, PIECE_SIZE) >= 0) {
            if (content.size() > maximum) {
                throw new AnswerException(FailureCodes.ANSWER_TOO_LARGE);
            }
        }
        return Bytes.wrap(content.readByteArray());
    }

    /**
     * Refuses an answer that ends with its connection, as one that is cut would look the same.
     *
     * @param response The answer.
     * @throws IOException If the answer's end can't be seen.
     */
    static void requireVisibleEnd(Response response) throws IOException {
        boolean empty = response.request().method().equals("HEAD")
                || response.code() == NO_CONTENT
                || response.code() == NOT_MODIFIED;
        boolean chunked = "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
        if (!empty && !chunked && response.body().contentLength() < 0) {
            throw new AnswerException(FailureCodes.CONNECTION_LOST);
        }
    }
}
