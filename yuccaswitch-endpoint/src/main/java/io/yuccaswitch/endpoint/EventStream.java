package io.yuccaswitch.endpoint;

import io.yuccaswitch.core.endpoint.FailureCodes;
import java.io.EOFException;
import java.io.IOException;
import java.util.Optional;
import okio.BufferedSource;

/** Reads the data of server-sent events. */
final class EventStream {

    /** The longest line that is accepted. */
    private static final long MAXIMUM_LINE = 1L << 20;

    /** The beginning of a line of data. */
    private static final String DATA = "data:";

    /** The bytes. */
    private final BufferedSource source;

    /**
     * Creates a reader.
     *
     * @param source The bytes.
     */
    EventStream(BufferedSource source) {
        this.source = source;
    }

    /**
     * Reads the data of the next event.
     *
     * @return The data, or empty if the body ended.
     * @throws IOException If the connection breaks, or a line is too long.
     */
    Optional<String> next() throws IOException {
        StringBuilder data = new StringBuilder();
        boolean any = false;
        while (!source.exhausted()) {
            String line = line();
            if (line.startsWith(DATA)) {
                data.append(any ? "\n" : "")
                        .append(line.substring(DATA.length()).trim());
                any = true;
                requireShort(data);
            } else if (line.isEmpty() && any) {
                return Optional.of(data.toString());
            }
        }
        return Optional.empty();
    }

    /**
     * Refuses an event that is too long.
     *
     * @param data The data of the event so far.
     * @throws AnswerException If the event is too long.
     */
    private static void requireShort(StringBuilder data) throws AnswerException {
        if (data.length() > MAXIMUM_LINE) {
            throw new AnswerException(FailureCodes.ANSWER_TOO_LARGE);
        }
    }

    /**
     * Reads a line.
     *
     * @return The line without its end.
     * @throws IOException If the connection breaks, or the line is too long.
     */
    private String line() throws IOException {
        try {
            return source.readUtf8LineStrict(MAXIMUM_LINE);
        } catch (EOFException exception) {
            if (source.getBuffer().size() > MAXIMUM_LINE) {
                throw new AnswerException(FailureCodes.ANSWER_TOO_LARGE);
            }
            throw exception;
        }
    }
}
