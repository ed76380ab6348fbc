package io.yuccaswitch.protocol;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** A non-blocking channel to a peer: bytes out, and frames in. */
final class PeerChannel {

    /** What all connections share. */
    private final TransportContext context;

    /** The channel. */
    private final SocketChannel channel;

    /** The channel's registration with the selector. */
    private final SelectionKey key;

    /** Cuts what arrives into frames. */
    private final FrameDecoder decoder = new FrameDecoder(Greeting.MAXIMUM_SIZE);

    /**
     * Registers a channel.
     *
     * @param context What all connections share.
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
     * Reads what has arrived.
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
     * Returns the decoder of what arrived.
     *
     * @return The decoder.
     */
    FrameDecoder decoder() {
        return decoder;
    }

    /**
     * Writes as many bytes as the channel takes.
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
     * Finishes connecting.
     *
     * @return {@code true} if the channel is connected.
     * @throws IOException If no connection could be made.
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
     * Returns whether a reading is due.
     *
     * @return {@code true} if the channel is ready to be read.
     */
    boolean isReadable() {
        return key.isValid() && key.isReadable();
    }

    /**
     * Returns whether a writing is due.
     *
     * @return {@code true} if the channel is ready to be written.
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
            context.ended(channel, exception.toString());
        }
    }
}
