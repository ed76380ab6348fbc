package io.yuccaswitch.node.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import okio.BufferedSource;
import okio.ByteString;

/** Reads the events of a stream, each only when it is whole. */
final class ServerSentEvents {

    /** The longest line that is read, in bytes. */
    private static final long MAXIMUM_LINE = 1L << 20;

    /** The field of an event's identifier. */
    private static final String ID_FIELD = "id:";

    /** The field of an event's data. */
    private static final ByteString DATA_FIELD = ByteString.encodeUtf8("data:");

    /** The line feed. */
    private static final byte LINE_FEED = '\n';

    /** The stream. */
    private final BufferedSource source;

    /** Reads a line that tells the version of the weights. */
    private final EndpointDialect dialect;

    /**
     * Creates a reader.
     *
     * @param source The stream.
     * @param dialect How endpoints speak.
     */
    ServerSentEvents(BufferedSource source, EndpointDialect dialect) {
        this.source = source;
        this.dialect = dialect;
    }

    /**
     * Reads the next event.
     *
     * @return The event, or empty if the stream ended between two events.
     * @throws IOException If the stream broke off, or ended inside an event.
     */
    Optional<Event> next() throws IOException {
        List<ByteString> lines = new ArrayList<>();
        while (true) {
            if (source.exhausted()) {
                if (lines.isEmpty()) {
                    return Optional.empty();
                }
                throw new IOException("the stream ended inside an event");
            }
            ByteString line = line();
            if (line.size() > 0) {
                lines.add(line);
            } else if (!lines.isEmpty()) {
                return Optional.of(parse(lines));
            }
        }
    }

    /**
     * Reads a line.
     *
     * @return The line without its end.
     * @throws IOException If the stream broke off or the line is too long.
     */
    private ByteString line() throws IOException {
        long end = source.indexOf(LINE_FEED, 0, MAXIMUM_LINE);
        if (end < 0) {
            throw new IOException("the stream ended inside a line, or the line is too long");
        }
        ByteString line = source.readByteString(end);
        source.skip(1);
        boolean carriageReturn = line.size() > 0 && line.getByte(line.size() - 1) == '\r';
        return carriageReturn ? line.substring(0, line.size() - 1) : line;
    }

    /**
     * Reads the lines of an event.
     *
     * @param lines The lines.
     * @return The event.
     * @throws IOException If the identifier can't be read.
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
                id = number(text.substring(ID_FIELD.length()).trim());
            } else if (dialect.versionLine(text).isPresent()) {
                version = dialect.versionLine(text);
            }
        }
        return new Event(id, version, data, lines);
    }

    /**
     * Returns the value of a field.
     *
     * @param line The line.
     * @param field The length of the field's name with its colon.
     * @return The value, without the one space that may precede it.
     */
    private static ByteString valueOf(ByteString line, int field) {
        boolean space = line.size() > field && line.getByte(field) == ' ';
        return line.substring(space ? field + 1 : field);
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
     * Reads an identifier.
     *
     * @param text The text.
     * @return The number.
     * @throws IOException If it is none.
     */
    private static OptionalLong number(String text) throws IOException {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException exception) {
            throw new IOException("not an identifier of an event: " + text, exception);
        }
    }

    /**
     * An event.
     *
     * @param id The identifier, if it bears one.
     * @param version The version of the weights from this event on, if it tells one.
     * @param data The data.
     * @param lines All lines as they arrived.
     */
    record Event(OptionalLong id, OptionalLong version, ByteString data, List<ByteString> lines) {

        /**
         * Writes the event as it arrived.
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
