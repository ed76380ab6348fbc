package io.yuccaswitch.http;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import okio.Buffer;

/** Reads the bytes of a connection by lines or blocks, and retains those that were not yet asked for. */
final class LineReader {

    /** The size of the buffer in bytes, which suffices for the heads of most answers. */
    private static final int BUFFER_BYTES = 2048;

    /** The bytes that the peer sends. */
    private final ByteSource source;

    /** The bytes that were received. */
    private final byte[] buffer = new byte[BUFFER_BYTES];

    /** The position in the buffer of the next byte. */
    private int position;

    /** The position in the buffer after the last byte. */
    private int limit;

    /**
     * Creates a reader.
     *
     * @param source The bytes that the peer sends.
     */
    LineReader(ByteSource source) {
        this.source = source;
    }

    /**
     * Reads a line.
     *
     * @param maximumBytes The maximum length of the line with its terminator.
     * @return The line without its terminator, with one character a byte, or empty if it is too long.
     * @throws IOException If the connection ended or failed.
     */
    Optional<String> readLine(long maximumBytes) throws IOException {
        Buffer line = new Buffer();
        while (true) {
            fill();
            int end = indexOfLineFeed();
            int next = end < 0 ? limit : end + 1;
            line.write(buffer, position, next - position);
            position = next;
            if (line.size() > maximumBytes) {
                return Optional.empty();
            }
            if (end >= 0) {
                return Optional.of(withoutTerminator(line.readString(StandardCharsets.ISO_8859_1)));
            }
        }
    }

    /**
     * Returns a byte without consuming it, and waits for it.
     *
     * @param offset The offset from the next byte, less than the size of the buffer.
     * @return The byte.
     * @throws IOException If the connection ended or failed.
     */
    byte peek(int offset) throws IOException {
        while (limit - position <= offset) {
            compact();
            receive(source.read(buffer, limit, buffer.length - limit));
        }
        return buffer[position + offset];
    }

    /**
     * Reads a block of bytes and waits for the first one.
     *
     * @param target Receives the bytes.
     * @param offset The position of the first byte.
     * @param length The maximum number of bytes.
     * @return The number of bytes, or -1 if the connection ended.
     * @throws IOException If the connection failed.
     */
    int read(byte[] target, int offset, int length) throws IOException {
        if (position == limit) {
            return source.read(target, offset, length);
        }
        int count = Math.min(length, limit - position);
        System.arraycopy(buffer, position, target, offset, count);
        position += count;
        return count;
    }

    /**
     * Determines without waiting whether bytes have arrived or the connection has ended.
     *
     * @return The condition of the connection.
     */
    ConnectionCondition poll() {
        if (position < limit) {
            return ConnectionCondition.UNREAD_BYTES;
        }
        compact();
        try {
            int count = source.poll(buffer, limit, buffer.length - limit);
            limit += Math.max(0, count);
            return count < 0
                    ? ConnectionCondition.ENDED
                    : count == 0 ? ConnectionCondition.IDLE : ConnectionCondition.UNREAD_BYTES;
        } catch (IOException _exception) {
            return ConnectionCondition.ENDED;
        }
    }

    /**
     * Returns the bytes that were received and not yet read.
     *
     * @return The bytes, with one character a byte.
     */
    String unread() {
        return new String(buffer, position, limit - position, StandardCharsets.ISO_8859_1);
    }

    /**
     * Waits until the buffer contains a byte.
     *
     * @throws IOException If the connection ended or failed.
     */
    private void fill() throws IOException {
        if (position == limit) {
            peek(0);
        }
    }

    /** Moves the unread bytes to the beginning of the buffer. */
    private void compact() {
        System.arraycopy(buffer, position, buffer, 0, limit - position);
        limit -= position;
        position = 0;
    }

    /**
     * Adds received bytes to the buffer.
     *
     * @param count The number of bytes, or -1 if the connection ended.
     * @throws EOFException If the connection ended.
     */
    private void receive(int count) throws EOFException {
        if (count < 0) {
            throw new EOFException("the connection ended within an answer");
        }
        limit += count;
    }

    /**
     * Returns the position of the next line feed.
     *
     * @return The position, or -1 if there is none in the buffer.
     */
    private int indexOfLineFeed() {
        for (int index = position; index < limit; index++) {
            if (buffer[index] == '\n') {
                return index;
            }
        }
        return -1;
    }

    /**
     * Removes the terminator of a line.
     *
     * @param line The line, which ends with a line feed.
     * @return The line without the line feed and a carriage return before it.
     */
    private static String withoutTerminator(String line) {
        int end = line.length() - 1;
        return line.substring(0, end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
    }
}
