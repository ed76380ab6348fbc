package io.yuccaswitch.testkit.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okio.ByteString;

/**
 * Forwards the data of one direction of a connection: one thread reads, and another one writes when the data is due.
 */
final class Pump {

    /** The size of the chunks in which bytes are read. */
    private static final int CHUNK_BYTES = 8192;

    /** The maximum number of waiting chunks, beyond which the sender is slowed down by backpressure. */
    private static final int MAXIMUM_CHUNKS = 128;

    /** The number of writes per second into which a throttled stream is split. */
    private static final int THROTTLED_WRITES_PER_SECOND = 50;

    /** The direction. */
    private final Direction direction;

    /** The socket to read from. */
    private final Socket source;

    /** The socket to write to. */
    private final Socket sink;

    /** The active faults. */
    private final ActiveFaults faults;

    /** The number of bytes forwarded by all connections of the link in this direction. */
    private final AtomicLong total;

    /** The chunks to write. An empty chunk marks the end of the stream. */
    private final BlockingQueue<Chunk> chunks = new LinkedBlockingQueue<>(MAXIMUM_CHUNKS);

    /** The faults to which {@link #forwardedBytes} applies, used by the writing thread only. */
    private LinkFaults countedFaults = LinkFaults.NONE;

    /** The number of bytes forwarded since these faults became active, used by the writing thread only. */
    private long forwardedBytes;

    /**
     * Creates a pump.
     *
     * @param direction The direction.
     * @param source The socket to read from.
     * @param sink The socket to write to.
     * @param faults The active faults.
     * @param total The count of forwarded bytes.
     */
    Pump(Direction direction, Socket source, Socket sink, ActiveFaults faults, AtomicLong total) {
        this.direction = direction;
        this.source = source;
        this.sink = sink;
        this.faults = faults;
        this.total = total;
    }

    /**
     * Reads until the stream ends.
     *
     * @throws IOException If the connection breaks.
     * @throws InterruptedException If the connection ends in the meantime.
     */
    void read() throws IOException, InterruptedException {
        byte[] buffer = new byte[CHUNK_BYTES];
        int size;
        do {
            size = Math.max(0, source.getInputStream().read(buffer));
            chunks.put(new Chunk(ByteString.of(buffer, 0, size), System.nanoTime()));
        } while (size > 0);
    }

    /**
     * Writes until the stream ends.
     *
     * @throws IOException If the connection breaks or must be reset.
     * @throws InterruptedException If the connection ends in the meantime.
     */
    void write() throws IOException, InterruptedException {
        while (true) {
            Chunk chunk = chunks.take();
            long dueAt = chunk.readAt() + faults.current().delay().toNanos();
            TimeUnit.NANOSECONDS.sleep(dueAt - System.nanoTime());
            if (chunk.bytes().size() == 0) {
                faults.awaitOpen(direction);
                sink.shutdownOutput();
                return;
            }
            writeAll(chunk.bytes());
        }
    }

    /**
     * Writes a chunk, split as required by the throttle and the reset.
     *
     * @param bytes The bytes of the chunk.
     * @throws IOException If the connection breaks or must be reset.
     * @throws InterruptedException If the connection ends in the meantime.
     */
    private void writeAll(ByteString bytes) throws IOException, InterruptedException {
        int offset = 0;
        while (offset < bytes.size()) {
            LinkFaults current = faults.awaitOpen(direction);
            int size = allowed(current, bytes.size() - offset);
            sink.getOutputStream().write(bytes.substring(offset, offset + size).toByteArray());
            offset += size;
            forwardedBytes += size;
            total.addAndGet(size);
            if (current.bytesPerSecond() > 0) {
                TimeUnit.NANOSECONDS.sleep(size * TimeUnit.SECONDS.toNanos(1) / current.bytesPerSecond());
            }
        }
    }

    /**
     * Returns the number of bytes that may be written at once.
     *
     * @param current The active faults.
     * @param wanted The number of bytes to write.
     * @return The number of bytes, at least one.
     * @throws IOException If the connection must be reset.
     */
    private int allowed(LinkFaults current, int wanted) throws IOException {
        if (!current.equals(countedFaults)) {
            countedFaults = current;
            forwardedBytes = 0;
        }
        long size = wanted;
        if (current.bytesPerSecond() > 0) {
            size = Math.min(size, Math.max(1, current.bytesPerSecond() / THROTTLED_WRITES_PER_SECOND));
        }
        OptionalLong reset = current.resetAfter(direction);
        if (reset.isPresent()) {
            size = Math.min(size, reset.getAsLong() - forwardedBytes);
        }
        if (size <= 0) {
            throw new IOException("connection reset by an injected fault");
        }
        return (int) size;
    }

    /**
     * A chunk of bytes that were read at once.
     *
     * @param bytes The bytes, which are empty at the end of the stream.
     * @param readAt The time of the read, in nanoseconds of the monotonic clock.
     */
    private record Chunk(ByteString bytes, long readAt) {}
}
