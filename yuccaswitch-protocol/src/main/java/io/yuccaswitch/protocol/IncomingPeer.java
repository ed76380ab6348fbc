package io.yuccaswitch.protocol;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.function.Consumer;

/** A connection that a peer opened to this node and sends messages on. */
final class IncomingPeer implements ChannelHandler {

    /**
     * The multiple of the idle timeout after which the accepting node closes a connection. The connecting node closes
     * it first, after one idle timeout, unless it fails to do so.
     */
    private static final int IDLE_FACTOR = 2;

    /** The state that all connections share. */
    private final TransportContext context;

    /** The channel. */
    private final PeerChannel channel;

    /** Called once the connection has ended. */
    private final Consumer<IncomingPeer> onEnd;

    /** The peer's identity, once its greeting was accepted. */
    private Optional<NodeIdentity> sender = Optional.empty();

    /** The monotonic time in nanoseconds at which the connection was accepted. */
    private final long acceptedAt;

    /** The monotonic time in nanoseconds at which bytes were last received. */
    private long lastReceived;

    /**
     * Accepts a connection.
     *
     * @param context The state that all connections share.
     * @param channel The accepted channel.
     * @param onEnd Called once the connection has ended.
     * @param now The monotonic time in nanoseconds.
     * @throws IOException If the channel can't be used.
     */
    IncomingPeer(TransportContext context, SocketChannel channel, Consumer<IncomingPeer> onEnd, long now)
            throws IOException {
        this.context = context;
        this.onEnd = onEnd;
        acceptedAt = now;
        lastReceived = now;
        this.channel = new PeerChannel(context, channel, SelectionKey.OP_READ, this);
    }

    /** {@inheritDoc} */
    @Override
    public void ready(long now) throws IOException {
        if (!channel.read()) {
            end("closed by peer");
            return;
        }
        lastReceived = now;
        Optional<FrameViolation> violation = receive();
        if (violation.isPresent()) {
            context.recordViolation(violation.get(), this);
            end(violation.get().name());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void failed(String reason, long _now) {
        end(reason);
    }

    /**
     * Closes the connection if the greeting is late or the connection has been idle for too long. A greeting that
     * arrives byte by byte is late as well.
     *
     * @param now The monotonic time in nanoseconds.
     */
    void sweep(long now) {
        long silence = now - lastReceived;
        if (sender.isEmpty()
                && now - acceptedAt > context.settings().connectTimeout().toNanos()) {
            context.recordViolation(FrameViolation.UNWELCOME, this);
            end("no greeting");
        } else if (silence > IDLE_FACTOR * context.settings().idleTimeout().toNanos()) {
            end("idle");
        }
    }

    /** Closes the channel without notifying the listener. */
    void close() {
        channel.close();
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return sender.map(NodeIdentity::toString).orElse("stranger");
    }

    /**
     * Handles all complete frames.
     *
     * @return The peer's protocol violation, or empty if there is none.
     * @throws IOException If the channel failed.
     */
    private Optional<FrameViolation> receive() throws IOException {
        FrameDecoder decoder = channel.decoder();
        Optional<Frame> frame = decoder.next();
        while (frame.isPresent()) {
            Optional<FrameViolation> violation =
                    sender.isPresent() ? handleMessage(frame.get(), sender.get()) : handleGreeting(frame.get());
            if (violation.isPresent()) {
                return violation;
            }
            frame = decoder.next();
        }
        return decoder.violation();
    }

    /**
     * Handles the first frame, and answers with this node's own greeting.
     *
     * @param frame The frame.
     * @return The peer's protocol violation, or empty if there is none.
     * @throws IOException If the channel failed.
     */
    private Optional<FrameViolation> handleGreeting(Frame frame) throws IOException {
        Optional<Greeting> greeting = context.codec()
                .decodeGreeting(frame)
                .filter(candidate -> candidate.isAuthentic(
                        context.settings().site(), context.settings().token()));
        if (greeting.isEmpty()) {
            return Optional.of(FrameViolation.UNWELCOME);
        }
        sender = Optional.of(greeting.get().identity());
        channel.decoder().setMaximumLength(context.codec().maximumFrameLength());
        if (!channel.write(context.greeting())) {
            throw new IOException("Greeting was not written: socket send buffer is full");
        }
        return Optional.empty();
    }

    /**
     * Handles a frame after the greeting. A message of an unknown type is skipped, since the peer may run a newer
     * release.
     *
     * @param frame The frame.
     * @param from The peer.
     * @return The peer's protocol violation, or empty if there is none.
     * @throws IOException If the channel failed.
     */
    private Optional<FrameViolation> handleMessage(Frame frame, NodeIdentity from) throws IOException {
        if (frame.type() == Frame.KEEP_ALIVE) {
            if (!channel.write(Frame.keepAlive())) {
                throw new IOException("Keep-alive was not written: socket send buffer is full");
            }
            return Optional.empty();
        }
        if (!context.codec().isKnownType(frame)) {
            context.metrics().unknownType();
            return Optional.empty();
        }
        Optional<PeerMessage> message = context.codec().decode(frame);
        if (message.isEmpty()) {
            return Optional.of(FrameViolation.MALFORMED);
        }
        context.metrics().messageIn();
        context.raise(new PeerEvent.Received(from, message.get()));
        return Optional.empty();
    }

    /**
     * Closes the connection and notifies the listener.
     *
     * @param reason The reason, for logs.
     */
    private void end(String reason) {
        close();
        context.logConnectionEnd(this, reason);
        onEnd.accept(this);
    }
}
