package io.yuccaswitch.http;

import java.io.IOException;

/** The bytes that a peer sends. */
interface ByteSource {

    /**
     * Reads bytes and waits for the first one.
     *
     * @param target Receives the bytes.
     * @param offset The position of the first byte.
     * @param length The maximum number of bytes.
     * @return The number of bytes, or -1 if the peer has closed the connection.
     * @throws IOException If the connection failed.
     */
    int read(byte[] target, int offset, int length) throws IOException;

    /**
     * Reads the bytes that have arrived, without waiting.
     *
     * @param target Receives the bytes.
     * @param offset The position of the first byte.
     * @param length The maximum number of bytes.
     * @return The number of bytes, 0 if none has arrived, or -1 if the peer has closed the connection.
     * @throws IOException If the connection failed.
     */
    int poll(byte[] target, int offset, int length) throws IOException;
}
