package io.yuccaswitch.protocol;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of bytes into frames. Bytes are buffered only while a frame is incomplete, and the buffer grows with
 * the bytes received rather than with the length that a peer declares.
 */
final class FrameDecoder {

    /** The size in bytes of the buffer that is retained between frames. */
    private static final int INITIAL_CAPACITY = 512;

    /** The received bytes that are not yet part of a returned frame. */
    private byte[] buffer = new byte[INITIAL_CAPACITY];

    /** The position of the first byte that is not yet part of a returned frame. */
    private int start;

    /** The position after the last received byte. */
    private int end;

    /** The maximum declared length of a frame in bytes. */
    private int maximumLength;

    /** The protocol violation that was detected, if any. */
    private Optional<FrameViolation> violation = Optional.empty();

    /**
     * Creates a new decoder.
     *
     * @param maximumLength The maximum declared length of a frame in bytes.
     */
    FrameDecoder(int maximumLength) {
        this.maximumLength = maximumLength;
    }

    /**
     * Changes the maximum declared length, starting with the next frame.
     *
     * @param length The maximum declared length of a frame in bytes.
     */
    void setMaximumLength(int length) {
        maximumLength = length;
    }

    /**
     * Appends received bytes.
     *
     * @param bytes The bytes, all of which are consumed.
     */
    void append(ByteBuffer bytes) {
        int count = bytes.remaining();
        ensureCapacity(count);
        bytes.get(buffer, end, count);
        end += count;
    }

    /**
     * Returns the next complete frame.
     *
     * @return The frame, or empty if more bytes are needed or the peer violated the protocol.
     */
    Optional<Frame> next() {
        if (violation.isPresent() || end - start < Frame.LENGTH_SIZE) {
            return Optional.empty();
        }
        ByteBuffer available = ByteBuffer.wrap(buffer, start, end - start);
        int length = available.getInt();
        violation = check(length, available);
        if (violation.isPresent() || available.remaining() < length) {
            return Optional.empty();
        }
        Frame frame = Frame.decode(available.slice(available.position(), length));
        start += Frame.LENGTH_SIZE + length;
        shrink();
        return Optional.of(frame);
    }

    /**
     * Returns the peer's protocol violation.
     *
     * @return The violation, or empty if there was none.
     */
    Optional<FrameViolation> violation() {
        return violation;
    }

    /**
     * Checks as much of a frame's header as has been received.
     *
     * @param length The declared length of the frame.
     * @param body The received bytes after the length field.
     * @return The violation, or empty if there is none.
     */
    private Optional<FrameViolation> check(int length, ByteBuffer body) {
        if (length < Frame.HEADER_SIZE) {
            return Optional.of(FrameViolation.MALFORMED);
        }
        if (body.hasRemaining() && body.get(body.position()) != Frame.VERSION) {
            return Optional.of(FrameViolation.UNKNOWN_VERSION);
        }
        return length > maximumLength ? Optional.of(FrameViolation.OVERSIZED) : Optional.empty();
    }

    /**
     * Ensures capacity for more bytes at the end of the buffer.
     *
     * @param count The number of additional bytes.
     */
    private void ensureCapacity(int count) {
        if (end + count <= buffer.length) {
            return;
        }
        int used = end - start;
        int capacity = Math.max(buffer.length, INITIAL_CAPACITY);
        while (capacity < used + count) {
            capacity *= 2;
        }
        byte[] larger = capacity == buffer.length ? buffer : new byte[capacity];
        System.arraycopy(buffer, start, larger, 0, used);
        buffer = larger;
        start = 0;
        end = used;
    }

    /** Shrinks the buffer to its initial capacity after a large frame has been returned. */
    private void shrink() {
        if (buffer.length > INITIAL_CAPACITY && end - start <= INITIAL_CAPACITY) {
            buffer = Arrays.copyOf(Arrays.copyOfRange(buffer, start, end), INITIAL_CAPACITY);
            end -= start;
            start = 0;
        }
    }
}
