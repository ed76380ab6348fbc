package io.yuccaswitch.protocol;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** A non-blocking channel to a peer that writes bytes and reads frames. */
final class PeerChannel {

    /** The state that all connections share. */
    private final TransportContext context;

    /** The channel. */
    private final SocketChannel channel;

    /** The channel's registration with the selector. */
    private final SelectionKey key;

    /** Splits the received bytes into frames. */
    private final FrameDecoder decoder = new FrameDecoder(Greeting.MAXIMUM_SIZE);

    /**
     * Registers a channel.
     *
     * @param context The state that all connections share.
     * @param channel The channel.
     * @param interest The operations that the handler is interested in.
     * @param handler The handler to call when the channel is ready.
     * @throws IOException If the channel can't be used.
     */
    PeerChannel(TransportContext context, SocketChannel channel, int interest, ChannelHandler handler)
            throws IOException {
        this.context = context;
        this.channel = channel;
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        key = channel.register(context.selector(), interest, handler);
        context.metrics().opened();
    }

    /**
     * Reads the available bytes.
     *
     * @return {@code false} if the peer closed the connection.
     * @throws IOException If the channel failed.
     */
    boolean read() throws IOException {
        ByteBuffer buffer = context.readBuffer();
        int count = channel.read(buffer);
        if (count < 0) {
            return false;
        }
        context.metrics().bytesIn(count);
        decoder.append(buffer.flip());
        return true;
    }

    /**
     * Returns the decoder of the received bytes.
     *
     * @return The decoder.
     */
    FrameDecoder decoder() {
        return decoder;
    }

    /**
     * Writes as many bytes as the channel accepts.
     *
     * @param buffer The bytes to write, from its position on.
     * @return {@code true} if all bytes were written.
     * @throws IOException If the channel failed.
     */
    boolean write(ByteBuffer buffer) throws IOException {
        context.metrics().bytesOut(channel.write(buffer));
        return !buffer.hasRemaining();
    }

    /**
     * Completes the connection attempt.
     *
     * @return {@code true} if the channel is connected.
     * @throws IOException If the connection attempt failed.
     */
    boolean finishConnect() throws IOException {
        return channel.finishConnect();
    }

    /**
     * Changes the operations that the handler is interested in.
     *
     * @param operations The operations.
     */
    void interest(int operations) {
        if (key.isValid()) {
            key.interestOps(operations);
        }
    }

    /**
     * Returns whether the channel is ready for reading.
     *
     * @return {@code true} if the channel is readable.
     */
    boolean isReadable() {
        return key.isValid() && key.isReadable();
    }

    /**
     * Returns whether the channel is ready for writing.
     *
     * @return {@code true} if the channel is writable.
     */
    boolean isWritable() {
        return key.isValid() && key.isWritable();
    }

    /** Closes the channel. */
    void close() {
        key.cancel();
        context.metrics().closed();
        try {
            channel.close();
        } catch (IOException exception) {
            context.logConnectionEnd(channel, exception.toString());
        }
    }
}
