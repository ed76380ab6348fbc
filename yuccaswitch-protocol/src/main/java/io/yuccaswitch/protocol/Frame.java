package io.yuccaswitch.protocol;

import io.yuccaswitch.core.value.Bytes;
import java.nio.ByteBuffer;

/**
 * A received frame: the type number and the encoded message. On the wire, a frame consists of a four-byte length of the
 * remaining frame, a one-byte protocol version, a two-byte type number and the message as MessagePack.
 *
 * @param type The type number of the message.
 * @param payload The message as MessagePack.
 */
record Frame(int type, Bytes payload) {

    /** The protocol version of this release. */
    static final byte VERSION = 1;

    /** The type number of a keep-alive, which has no payload and is answered by an identical frame. */
    static final int KEEP_ALIVE = 0xFFFE;

    /** The size of the length field in bytes. */
    static final int LENGTH_SIZE = Integer.BYTES;

    /** The size in bytes of the version and the type number, which the length field includes. */
    static final int HEADER_SIZE = Byte.BYTES + Short.BYTES;

    /** The mask that converts a short to an unsigned number. */
    private static final int SHORT_MASK = 0xFFFF;

    /**
     * Encodes a frame.
     *
     * @param type The type number of the message.
     * @param payload The message as MessagePack.
     * @return The bytes of the frame.
     */
    static Bytes encode(int type, byte[] payload) {
        byte[] frame = ByteBuffer.allocate(LENGTH_SIZE + HEADER_SIZE + payload.length)
                .putInt(HEADER_SIZE + payload.length)
                .put(VERSION)
                .putShort((short) type)
                .put(payload)
                .array();
        return Bytes.wrap(frame);
    }

    /**
     * Encodes a keep-alive.
     *
     * @return The bytes of the frame.
     */
    static ByteBuffer keepAlive() {
        return ByteBuffer.wrap(encode(KEEP_ALIVE, new byte[0]).unsafeArray());
    }

    /**
     * Decodes the part of a frame that follows the length field.
     *
     * @param body The bytes after the length field, with a version that has been checked.
     * @return The frame.
     */
    static Frame decode(ByteBuffer body) {
        int type = body.getShort(body.position() + Byte.BYTES) & SHORT_MASK;
        byte[] payload = new byte[body.remaining() - HEADER_SIZE];
        body.get(body.position() + HEADER_SIZE, payload);
        return new Frame(type, Bytes.wrap(payload));
    }
}
