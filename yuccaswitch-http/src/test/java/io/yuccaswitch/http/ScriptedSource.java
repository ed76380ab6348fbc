package io.yuccaswitch.http;

import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Sends given bytes in blocks of a given size, and then ends the connection or keeps it open. */
final class ScriptedSource implements ByteSource {

    private final byte[] bytes;
    private final int blockBytes;
    private final boolean ends;
    private int position;

    private ScriptedSource(String bytes, int blockBytes, boolean ends) {
        this.bytes = bytes.getBytes(StandardCharsets.ISO_8859_1);
        this.blockBytes = blockBytes;
        this.ends = ends;
    }

    static ScriptedSource open(String bytes, int blockBytes) {
        return new ScriptedSource(bytes, blockBytes, false);
    }

    static ScriptedSource ended(String bytes) {
        return new ScriptedSource(bytes, Integer.MAX_VALUE, true);
    }

    @Override
    public int read(byte[] target, int offset, int length) throws SocketTimeoutException {
        int count = poll(target, offset, length);
        if (count == 0) {
            throw new SocketTimeoutException("no more bytes arrive");
        }
        return count;
    }

    @Override
    public int poll(byte[] target, int offset, int length) {
        if (position == bytes.length) {
            return ends ? -1 : 0;
        }
        int count = Math.min(Math.min(length, blockBytes), bytes.length - position);
        System.arraycopy(bytes, position, target, offset, count);
        position += count;
        return count;
    }
}
