package io.yuccaswitch.protocol;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.function.Consumer;

/** A connection that a peer made to this node, and sends messages on. */
final class IncomingPeer implements ChannelHandler {

    /** An idle connection is closed by the node that made it, and only by its acceptor if that does not happen. */
    private static final int IDLE_FACTOR = 2;

    /** What all connections share. */
    private final TransportContext context;

    /** The channel. */
    private final PeerChannel channel;

    /** Called once the connection has ended. */
    private final Consumer<IncomingPeer> onEnd;

    /** The peer, once it has greeted. */
    private Optional<NodeIdentity> sender = Optional.empty();

    /** The monotonic time in nanoseconds at which something last arrived. */
    private long lastArrival;

    /**
     * Accepts a connection.
     *
     * @param context What all connections share.
     * @param channel The accepted channel.
     * @param onEnd Called once the connection has ended.
     * @param now The monotonic time in nanoseconds.
     * @throws IOException If the channel can't be used.
     */
    IncomingPeer(TransportContext context, SocketChannel channel, Consumer<IncomingPeer> onEnd, long now)
            throws IOException {
        this.context = context;
        this.onEnd = onEnd;
        lastArrival = now;
        this.channel = new PeerChannel(context, channel, SelectionKey.OP_READ, this);
    }

    /** {@inheritDoc} */
    @Override
    public void ready(long now) throws IOException {
        if (!channel.read()) {
            end("closed by peer");
            return;
        }
        lastArrival = now;
        Optional<FrameViolation> violation = receive();
        if (violation.isPresent()) {
            context.cutOff(violation.get(), this);
            end(violation.get().name());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void failed(String reason, long _now) {
        end(reason);
    }

    /**
     * Ends the connection if it was not greeted in time, or has been idle for long.
     *
     * @param now The monotonic time in nanoseconds.
     */
    void sweep(long now) {
        long silence = now - lastArrival;
        if (sender.isEmpty() && silence > context.settings().connectTimeout().toNanos()) {
            context.cutOff(FrameViolation.UNWELCOME, this);
            end("no greeting");
        } else if (silence > IDLE_FACTOR * context.settings().idleTimeout().toNanos()) {
            end("idle");
        }
    }

    /** Closes the channel, without telling anyone. */
    void close() {
        channel.close();
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return sender.map(NodeIdentity::toString).orElse("stranger");
    }

    /**
     * Handles all frames that are complete.
     *
     * @return How the peer broke the protocol, or empty if it did not.
     * @throws IOException If the channel failed.
     */
    private Optional<FrameViolation> receive() throws IOException {
        FrameDecoder decoder = channel.decoder();
        Optional<Frame> frame = decoder.next();
        while (frame.isPresent()) {
            Optional<FrameViolation> violation =
                    sender.isPresent() ? message(frame.get(), sender.get()) : greeting(frame.get());
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
     * @return How the peer broke the protocol, or empty if it did not.
     * @throws IOException If the channel failed.
     */
    private Optional<FrameViolation> greeting(Frame frame) throws IOException {
        Optional<Greeting> greeting = context.codec()
                .decodeGreeting(frame)
                .filter(candidate -> candidate.isWelcome(
                        context.settings().site(), context.settings().token()));
        if (greeting.isEmpty()) {
            return Optional.of(FrameViolation.UNWELCOME);
        }
        sender = Optional.of(greeting.get().identity());
        channel.decoder().limit(context.codec().maximumFrameLength());
        if (!channel.write(context.greeting())) {
            throw new IOException("The peer takes no greeting");
        }
        return Optional.empty();
    }

    /**
     * Handles a frame after the greeting. A type that is not known is skipped, since a peer may be of a newer release.
     *
     * @param frame The frame.
     * @param from The peer.
     * @return How the peer broke the protocol, or empty if it did not.
     * @throws IOException If the channel failed.
     */
    private Optional<FrameViolation> message(Frame frame, NodeIdentity from) throws IOException {
        if (frame.type() == Frame.KEEP_ALIVE) {
            if (!channel.write(Frame.keepAlive())) {
                throw new IOException("The peer takes no keep-alive");
            }
            return Optional.empty();
        }
        if (!context.codec().knows(frame)) {
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
     * Ends the connection.
     *
     * @param reason The reason, for logs.
     */
    private void end(String reason) {
        close();
        context.ended(this, reason);
        onEnd.accept(this);
    }
}
