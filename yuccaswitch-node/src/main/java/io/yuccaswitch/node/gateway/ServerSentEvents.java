package io.yuccaswitch.node.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import okio.BufferedSource;
import okio.ByteString;

/** Reads the events of a stream and returns each one only when it is complete. */
final class ServerSentEvents {

    /** The maximum length of an event with its line terminators, in bytes. */
    private static final long MAXIMUM_EVENT_BYTES = 1L << 18;

    /** The maximum number of lines of an event. Each line takes more memory than its bytes. */
    private static final int MAXIMUM_EVENT_LINES = 1024;

    /** The field of an event's identifier. */
    private static final String ID_FIELD = "id:";

    /** The field of an event's data. */
    private static final ByteString DATA_FIELD = ByteString.encodeUtf8("data:");

    /** The beginning of a status line, which is no field of an event. */
    private static final ByteString STATUS_LINE_PREFIX = ByteString.encodeUtf8("HTTP/1.");

    /** The line feed. */
    private static final byte LINE_FEED = '\n';

    /** The stream. */
    private final BufferedSource source;

    /** Decodes lines that state the version of the weights. */
    private final EndpointDialect dialect;

    /**
     * Creates a reader.
     *
     * @param source The stream.
     * @param dialect The dialect of endpoints.
     */
    ServerSentEvents(BufferedSource source, EndpointDialect dialect) {
        this.source = source;
        this.dialect = dialect;
    }

    /**
     * Reads the next event.
     *
     * @return The event, or empty if the stream ended between two events.
     * @throws IOException If the connection failed, the stream ended within an event, the event is too long, or another
     *     answer starts within the stream.
     */
    Optional<Event> next() throws IOException {
        List<ByteString> lines = new ArrayList<>();
        long remainingBytes = MAXIMUM_EVENT_BYTES;
        while (true) {
            if (source.exhausted()) {
                if (lines.isEmpty()) {
                    return Optional.empty();
                }
                throw new IOException("the stream ended within an event");
            }
            ByteString line = readLine(remainingBytes);
            if (line.startsWith(STATUS_LINE_PREFIX)) {
                throw new IOException("another answer starts within the stream");
            }
            if (line.size() > 0) {
                lines.add(line);
                remainingBytes -= line.size() + 1;
                if (lines.size() > MAXIMUM_EVENT_LINES) {
                    throw new IOException("the event has too many lines");
                }
            } else if (!lines.isEmpty()) {
                return Optional.of(parse(lines));
            }
        }
    }

    /**
     * Reads a line.
     *
     * @param maximumBytes The maximum length of the line.
     * @return The line without its terminator.
     * @throws IOException If the connection failed, the stream ended within the line, or the line is too long.
     */
    private ByteString readLine(long maximumBytes) throws IOException {
        long length = source.indexOf(LINE_FEED, 0, Math.max(1, maximumBytes));
        if (length < 0) {
            throw new IOException("the stream ended within a line, or the event is too long");
        }
        ByteString line = source.readByteString(length);
        source.skip(1);
        boolean carriageReturn = line.size() > 0 && line.getByte(line.size() - 1) == '\r';
        return carriageReturn ? line.substring(0, line.size() - 1) : line;
    }

    /**
     * Parses the lines of an event.
     *
     * @param lines The lines.
     * @return The event.
     * @throws IOException If the identifier is invalid.
     */
    private Event parse(List<ByteString> lines) throws IOException {
        OptionalLong id = OptionalLong.empty();
        OptionalLong version = OptionalLong.empty();
        ByteString data = ByteString.EMPTY;
        boolean hasData = false;
        for (ByteString line : lines) {
            if (line.startsWith(DATA_FIELD)) {
                ByteString part = valueOf(line, DATA_FIELD.size());
                data = hasData ? join(data, part) : part;
                hasData = true;
                continue;
            }
            String text = line.utf8();
            if (text.startsWith(ID_FIELD)) {
                id = parseId(text.substring(ID_FIELD.length()).trim());
            } else if (dialect.parseVersionLine(text).isPresent()) {
                version = dialect.parseVersionLine(text);
            }
        }
        return new Event(id, version, data, lines);
    }

    /**
     * Returns the value of a field.
     *
     * @param line The line.
     * @param fieldLength The length of the field's name with its colon.
     * @return The value, without the single leading space that the format allows.
     */
    private static ByteString valueOf(ByteString line, int fieldLength) {
        boolean hasSpace = line.size() > fieldLength && line.getByte(fieldLength) == ' ';
        return line.substring(hasSpace ? fieldLength + 1 : fieldLength);
    }

    /**
     * Joins two lines of data.
     *
     * @param first The first line.
     * @param second The second line.
     * @return Both, separated by a line feed.
     */
    private static ByteString join(ByteString first, ByteString second) {
        return new okio.Buffer().write(first).writeByte(LINE_FEED).write(second).readByteString();
    }

    /**
     * Parses an identifier.
     *
     * @param text The text.
     * @return The number.
     * @throws IOException If the text is not a number.
     */
    private static OptionalLong parseId(String text) throws IOException {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException exception) {
            throw new IOException("invalid event identifier: " + text, exception);
        }
    }

    /**
     * An event.
     *
     * @param id The identifier, if the event has one.
     * @param version The version of the weights from this event on, if the event states one.
     * @param data The data.
     * @param lines All lines as received.
     */
    record Event(OptionalLong id, OptionalLong version, ByteString data, List<ByteString> lines) {

        /**
         * Returns the event as received.
         *
         * @return The bytes.
         */
        byte[] toBytes() {
            okio.Buffer buffer = new okio.Buffer();
            for (ByteString line : lines) {
                buffer.write(line).writeByte(LINE_FEED);
            }
            return buffer.writeByte(LINE_FEED).readByteArray();
        }
    }
}
