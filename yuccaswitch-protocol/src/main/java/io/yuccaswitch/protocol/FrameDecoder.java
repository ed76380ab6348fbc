package io.yuccaswitch.protocol;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of bytes into frames. Bytes are kept only while a frame is incomplete, and space grows with what has
 * truly arrived rather than with the length that a peer claims.
 */
final class FrameDecoder {

    /** The size of the buffer that is kept between frames. */
    private static final int INITIAL_CAPACITY = 512;

    /** The bytes that arrived and are not yet part of a returned frame. */
    private byte[] buffer = new byte[INITIAL_CAPACITY];

    /** The position of the first byte that is not yet part of a returned frame. */
    private int start;

    /** The position after the last byte that arrived. */
    private int end;

    /** The largest length that a frame may claim. */
    private int maximumLength;

    /** The violation that was found, if any. */
    private Optional<FrameViolation> violation = Optional.empty();

    /**
     * Creates a new decoder.
     *
     * @param maximumLength The largest length that a frame may claim.
     */
    FrameDecoder(int maximumLength) {
        this.maximumLength = maximumLength;
    }

    /**
     * Changes the largest length that a frame may claim, from the next frame on.
     *
     * @param length The largest length that a frame may claim.
     */
    void limit(int length) {
        maximumLength = length;
    }

    /**
     * Appends bytes that arrived.
     *
     * @param bytes The bytes, all of which are consumed.
     */
    void append(ByteBuffer bytes) {
        int count = bytes.remaining();
        makeRoom(count);
        bytes.get(buffer, end, count);
        end += count;
    }

    /**
     * Returns the next complete frame.
     *
     * @return The frame, or empty if more bytes are needed or the peer broke the protocol.
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
        release();
        return Optional.of(frame);
    }

    /**
     * Returns how the peer broke the protocol.
     *
     * @return The violation, or empty if there was none.
     */
    Optional<FrameViolation> violation() {
        return violation;
    }

    /**
     * Checks the header of a frame as early as its bytes are there.
     *
     * @param length The length that the frame claims.
     * @param body The bytes after the length that have arrived.
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
     * Makes room for more bytes at the end.
     *
     * @param count The number of bytes to make room for.
     */
    private void makeRoom(int count) {
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

    /** Gives back space that a large frame needed, once it has been returned. */
    private void release() {
        if (buffer.length > INITIAL_CAPACITY && end - start <= INITIAL_CAPACITY) {
            buffer = Arrays.copyOf(Arrays.copyOfRange(buffer, start, end), INITIAL_CAPACITY);
            end -= start;
            start = 0;
        }
    }
}
