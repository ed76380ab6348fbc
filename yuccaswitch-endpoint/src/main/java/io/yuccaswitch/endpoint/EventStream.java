package io.yuccaswitch.endpoint;

import io.yuccaswitch.core.endpoint.FailureCodes;
import java.io.EOFException;
import java.io.IOException;
import java.util.Optional;
import okio.BufferedSource;

/** Parses the data of server-sent events. */
final class EventStream {

    /** The maximum length of a line in bytes, and of the data of an event in characters. */
    private static final long MAXIMUM_LENGTH = 1L << 20;

    /** The prefix of a data line. */
    private static final String DATA_PREFIX = "data:";

    /** The body of the answer. */
    private final BufferedSource source;

    /**
     * Creates a reader.
     *
     * @param source The body of the answer.
     */
    EventStream(BufferedSource source) {
        this.source = source;
    }

    /**
     * Reads the data of the next event.
     *
     * @return The data, or empty if the body ended.
     * @throws IOException If the connection breaks, or if a line or the event is too long.
     */
    Optional<String> next() throws IOException {
        StringBuilder data = new StringBuilder();
        boolean hasData = false;
        while (!source.exhausted()) {
            String line = line();
            if (line.startsWith(DATA_PREFIX)) {
                data.append(hasData ? "\n" : "")
                        .append(line.substring(DATA_PREFIX.length()).trim());
                hasData = true;
                requireMaximumLength(data);
            } else if (line.isEmpty() && hasData) {
                return Optional.of(data.toString());
            }
        }
        return Optional.empty();
    }

    /**
     * Rejects an event that is too long.
     *
     * @param data The data of the event so far.
     * @throws AnswerException If the event is too long.
     */
    private static void requireMaximumLength(StringBuilder data) throws AnswerException {
        if (data.length() > MAXIMUM_LENGTH) {
            throw new AnswerException(FailureCodes.ANSWER_TOO_LARGE);
        }
    }

    /**
     * Reads a line.
     *
     * @return The line without its terminator.
     * @throws IOException If the connection breaks or the line is too long.
     */
    private String line() throws IOException {
        try {
            return source.readUtf8LineStrict(MAXIMUM_LENGTH);
        } catch (EOFException exception) {
            if (source.getBuffer().size() > MAXIMUM_LENGTH) {
                throw new AnswerException(FailureCodes.ANSWER_TOO_LARGE);
            }
            throw exception;
        }
    }
}
