package io.yuccaswitch.testkit.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okio.ByteString;

/** Forwards the bytes of one direction of a connection: one thread reads, and another one writes once bytes are due. */
final class Pump {

    /** The size of the chunks in which bytes are read. */
    private static final int CHUNK_SIZE = 8192;

    /** The largest number of chunks that wait, beyond which the sender is slowed down. */
    private static final int MAXIMUM_CHUNKS = 128;

    /** The number of writes each second into which a throttled stream is split. */
    private static final int THROTTLED_WRITES_PER_SECOND = 50;

    /** The direction. */
    private final Direction direction;

    /** The socket to read from. */
    private final Socket source;

    /** The socket to write to. */
    private final Socket sink;

    /** The faults that are in force. */
    private final FaultSwitch faults;

    /** The bytes that were forwarded by all connections of the link in this direction. */
    private final AtomicLong total;

    /** The chunks that wait to be written. An empty chunk ends the stream. */
    private final BlockingQueue<Chunk> chunks = new LinkedBlockingQueue<>(MAXIMUM_CHUNKS);

    /** The faults for which {@link #counted} counts, used by the writing thread only. */
    private LinkFaults countedFor = LinkFaults.NONE;

    /** The bytes that were forwarded since these faults came into force, used by the writing thread only. */
    private long counted;

    /**
     * Creates a pump.
     *
     * @param direction The direction.
     * @param source The socket to read from.
     * @param sink The socket to write to.
     * @param faults The faults that are in force.
     * @param total The count of forwarded bytes.
     */
    Pump(Direction direction, Socket source, Socket sink, FaultSwitch faults, AtomicLong total) {
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
     * @throws InterruptedException If the connection ends meanwhile.
     */
    void read() throws IOException, InterruptedException {
        byte[] buffer = new byte[CHUNK_SIZE];
        int size;
        do {
            size = Math.max(0, source.getInputStream().read(buffer));
            chunks.put(new Chunk(ByteString.of(buffer, 0, size), System.nanoTime()));
        } while (size > 0);
    }

    /**
     * Writes until the stream ends.
     *
     * @throws IOException If the connection breaks, or is to be reset.
     * @throws InterruptedException If the connection ends meanwhile.
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
     * Writes a chunk, split as the throttle and the reset require.
     *
     * @param bytes The bytes of the chunk.
     * @throws IOException If the connection breaks, or is to be reset.
     * @throws InterruptedException If the connection ends meanwhile.
     */
    private void writeAll(ByteString bytes) throws IOException, InterruptedException {
        int offset = 0;
        while (offset < bytes.size()) {
            LinkFaults current = faults.awaitOpen(direction);
            int size = allowed(current, bytes.size() - offset);
            sink.getOutputStream().write(bytes.substring(offset, offset + size).toByteArray());
            offset += size;
            counted += size;
            total.addAndGet(size);
            if (current.bytesPerSecond() > 0) {
                TimeUnit.NANOSECONDS.sleep(size * TimeUnit.SECONDS.toNanos(1) / current.bytesPerSecond());
            }
        }
    }

    /**
     * Returns how many bytes may be written at once.
     *
     * @param current The faults that are in force.
     * @param wanted The bytes that wait.
     * @return The number of bytes, at least one.
     * @throws IOException If the connection is to be reset.
     */
    private int allowed(LinkFaults current, int wanted) throws IOException {
        if (!current.equals(countedFor)) {
            countedFor = current;
            counted = 0;
        }
        long size = wanted;
        if (current.bytesPerSecond() > 0) {
            size = Math.min(size, Math.max(1, current.bytesPerSecond() / THROTTLED_WRITES_PER_SECOND));
        }
        OptionalLong reset = current.resetAfter(direction);
        if (reset.isPresent()) {
            size = Math.min(size, reset.getAsLong() - counted);
        }
        if (size <= 0) {
            throw new IOException("reset by fault");
        }
        return (int) size;
    }

    /**
     * Bytes that were read at once.
     *
     * @param bytes The bytes, none at the end of the stream.
     * @param readAt The time in nanoseconds of the monotonic clock.
     */
    private record Chunk(ByteString bytes, long readAt) {}
}
