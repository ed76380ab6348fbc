package io.yuccaswitch.protocol;

import io.yuccaswitch.core.value.Bytes;
import java.nio.ByteBuffer;

/**
 * A frame as it was received: a type number and the bytes of a message. On the wire a frame is four bytes of length of
 * what follows, one byte of protocol version, two bytes of type number and the message as MessagePack.
 *
 * @param type The type number of the message.
 * @param payload The message as MessagePack.
 */
record Frame(int type, Bytes payload) {

    /** The version of the protocol that this release speaks. */
    static final byte VERSION = 1;

    /** The type number of a keep-alive, which bears no message, and is answered by the same frame. */
    static final int KEEP_ALIVE = 0xFFFE;

    /** The number of bytes of the length field. */
    static final int LENGTH_SIZE = Integer.BYTES;

    /** The number of bytes of the version and the type number, which the length counts. */
    static final int HEADER_SIZE = Byte.BYTES + Short.BYTES;

    /** The mask that makes an unsigned number of two bytes. */
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
     * Decodes what follows the length of a frame.
     *
     * @param body The bytes after the length, of which the version was checked.
     * @return The frame.
     */
    static Frame decode(ByteBuffer body) {
        int type = body.getShort(body.position() + Byte.BYTES) & SHORT_MASK;
        byte[] payload = new byte[body.remaining() - HEADER_SIZE];
        body.get(body.position() + HEADER_SIZE, payload);
        return new Frame(type, Bytes.wrap(payload));
    }
}
