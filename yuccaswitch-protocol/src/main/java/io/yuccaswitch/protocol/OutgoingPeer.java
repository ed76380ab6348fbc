package io.yuccaswitch.protocol;

import io.yuccaswitch.core.identity.NodeIdentity;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Optional;

/**
 * The connection from this node to the peer at one address, opened when there is a message to send. Messages are queued
 * until the peer has answered the greeting. During the backoff after a failed attempt to connect, messages are reported
 * as undeliverable immediately.
 */
final class OutgoingPeer implements ChannelHandler {

    /**
     * The time within which a keep-alive must be answered. A connection that has silently failed reports no error, and
     * data written to it is lost; with this timeout it is replaced within about 1.5 s, before the peer is considered
     * failed.
     */
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(1);

    /**
     * The number of messages after which a keep-alive is sent. A node of a large site writes to most other nodes once
     * in half a minute, and a keep-alive for each of these messages would triple the number of frames; data lost on one
     * such connection is requested again through others. A connection in regular use is checked as often as it is used.
     */
    private static final int MESSAGES_PER_KEEP_ALIVE = 2;

    /** The state that all connections share. */
    private final TransportContext context;

    /** The address of the peer. */
    private final InetSocketAddress address;

    /** The messages that are not yet being written. */
    private final MessageQueue queue;

    /** The state of the connection. */
    private State state = State.IDLE;

    /** The channel, or empty while idle or backing off. */
    private Optional<PeerChannel> channel = Optional.empty();

    /** The peer's identity, once its greeting was accepted. */
    private Optional<NodeIdentity> remote = Optional.empty();

    /** The message that is being written. */
    private Optional<QueuedMessage> current = Optional.empty();

    /** The bytes that are being written. */
    private ByteBuffer frameBuffer = ByteBuffer.allocate(0);

    /** The monotonic time in nanoseconds at which the current state was entered. */
    private long stateSince;

    /** The monotonic time in nanoseconds at which bytes were last written, or the queue was last empty. */
    private long lastProgress;

    /** The monotonic time in nanoseconds at which the unanswered keep-alive was sent, if any. */
    private Optional<Long> keepAliveSentAt = Optional.empty();

    /** Whether the peer has answered a keep-alive on this connection. Older releases do not answer them. */
    private boolean answersKeepAlives;

    /** The number of messages that were written since the last keep-alive. */
    private int messagesSinceKeepAlive;

    /** The backoff delay after the next failed attempt. */
    private Duration nextBackoff;

    /** The backoff delay after the latest failed attempt. */
    private Duration currentBackoff = Duration.ZERO;

    /**
     * Creates a peer without a connection.
     *
     * @param context The state that all connections share.
     * @param address The address of the peer.
     */
    OutgoingPeer(TransportContext context, InetSocketAddress address) {
        this.context = context;
        this.address = address;
        queue = new MessageQueue(
                context.settings().queuedMessages(), context.settings().queuedBytes());
        nextBackoff = context.settings().initialBackoff();
    }

    /**
     * Sends a message, or queues it until the connection is ready.
     *
     * @param message The message.
     * @param now The monotonic time in nanoseconds.
     */
    void send(QueuedMessage message, long now) {
        if (state == State.BACKING_OFF && now - stateSince < currentBackoff.toNanos()) {
            context.reportUndeliverable(message);
            return;
        }
        if (queue.isEmpty() && current.isEmpty()) {
            lastProgress = now;
        }
        for (QueuedMessage dropped : queue.add(message)) {
            context.metrics().dropped();
            context.reportUndeliverable(dropped);
        }
        if (channel.isEmpty()) {
            connect(now);
        } else if (state == State.OPEN && current.isEmpty()) {
            attempt(() -> write(channel.get(), now), now);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void ready(long now) throws IOException {
        if (channel.isEmpty()) {
            return;
        }
        PeerChannel connected = channel.get();
        if (state == State.CONNECTING) {
            greet(connected, now);
        } else if (connected.isReadable()) {
            read(connected, now);
        }
        if (state == State.OPEN && connected.isWritable()) {
            write(connected, now);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void failed(String reason, long now) {
        boolean wasEstablished = state == State.OPEN
                && now - stateSince > context.settings().maximumBackoff().toNanos();
        disconnect(reason, now);
        current.ifPresent(queue::putBack);
        current = Optional.empty();
        if (!wasEstablished) {
            enter(State.BACKING_OFF, now);
            currentBackoff = nextBackoff;
            nextBackoff = doubled(nextBackoff);
            queue.drain().forEach(context::reportUndeliverable);
        } else if (!queue.isEmpty()) {
            connect(now);
        }
    }

    /**
     * Fails a connection that is not established in time, accepts no bytes or leaves a keep-alive unanswered, and
     * closes an idle one. Sends a keep-alive if one is due.
     *
     * @param now The monotonic time in nanoseconds.
     * @return {@code true} if this peer has no connection and no messages, and can be removed.
     */
    boolean sweep(long now) {
        PeerTransportSettings settings = context.settings();
        boolean connecting = state == State.CONNECTING || state == State.GREETING;
        boolean pending = current.isPresent() || !queue.isEmpty();
        if (connecting && now - stateSince > settings.connectTimeout().toNanos()) {
            failed("timeout", now);
        } else if (state == State.OPEN
                && pending
                && now - lastProgress > settings.stallTimeout().toNanos()) {
            failed("stalled", now);
        } else if (state == State.OPEN
                && !pending
                && now - lastProgress > settings.idleTimeout().toNanos()) {
            disconnect("idle", now);
        } else if (state == State.OPEN && isKeepAliveOverdue(now)) {
            failed("silent", now);
        } else if (state == State.OPEN
                && !pending
                && messagesSinceKeepAlive >= MESSAGES_PER_KEEP_ALIVE
                && keepAliveSentAt.isEmpty()) {
            attempt(() -> sendKeepAlive(channel.get(), now), now);
        }
        boolean idleTimeoutPassed = now - stateSince > settings.idleTimeout().toNanos();
        return channel.isEmpty() && queue.isEmpty() && (state == State.IDLE || idleTimeoutPassed);
    }

    /**
     * Returns whether a keep-alive has been unanswered for longer than the timeout.
     *
     * @param now The monotonic time in nanoseconds.
     * @return {@code true} if so, and the peer has answered an earlier keep-alive on this connection.
     */
    private boolean isKeepAliveOverdue(long now) {
        return answersKeepAlives
                && keepAliveSentAt
                        .filter(at -> now - at > KEEP_ALIVE_TIMEOUT.toNanos())
                        .isPresent();
    }

    /**
     * Sends a keep-alive to check that the connection works.
     *
     * @param connected The channel.
     * @param now The monotonic time in nanoseconds.
     * @throws IOException If the channel failed.
     */
    private void sendKeepAlive(PeerChannel connected, long now) throws IOException {
        keepAliveSentAt = Optional.of(now);
        messagesSinceKeepAlive = 0;
        if (!connected.write(Frame.keepAlive())) {
            throw new IOException("Keep-alive was not written: socket send buffer is full");
        }
    }

    /**
     * Closes the connection. The next message opens a new one.
     *
     * @param reason The reason, for logs.
     * @param now The monotonic time in nanoseconds.
     */
    void disconnect(String reason, long now) {
        channel.ifPresent(PeerChannel::close);
        channel = Optional.empty();
        remote = Optional.empty();
        enter(State.IDLE, now);
        context.logConnectionEnd(address, reason);
    }

    /**
     * Starts to open a connection.
     *
     * @param now The monotonic time in nanoseconds.
     */
    private void connect(long now) {
        enter(State.CONNECTING, now);
        attempt(
                () -> {
                    SocketChannel socket = SocketChannel.open();
                    channel = Optional.of(new PeerChannel(context, socket, SelectionKey.OP_CONNECT, this));
                    if (socket.connect(address)) {
                        greet(channel.get(), now);
                    }
                },
                now);
    }

    /**
     * Sends the greeting once the connection is established.
     *
     * @param connected The channel.
     * @param now The monotonic time in nanoseconds.
     * @throws IOException If the channel failed.
     */
    private void greet(PeerChannel connected, long now) throws IOException {
        if (!connected.finishConnect()) {
            return;
        }
        enter(State.GREETING, now);
        connected.interest(SelectionKey.OP_READ);
        if (!connected.write(context.greeting())) {
            throw new IOException("Greeting was not written: socket send buffer is full");
        }
    }

    /**
     * Reads the peer's greeting and its answers to keep-alives, the only frames that it may send on this connection.
     *
     * @param connected The channel.
     * @param now The monotonic time in nanoseconds.
     * @throws IOException If the channel failed.
     */
    private void read(PeerChannel connected, long now) throws IOException {
        if (!connected.read()) {
            throw new IOException("Closed by peer");
        }
        Optional<Frame> frame = connected.decoder().next();
        Optional<FrameViolation> violation = connected.decoder().violation();
        if (frame.isPresent() && violation.isEmpty()) {
            violation = state == State.GREETING ? handleGreeting(frame.get(), now) : handleKeepAliveAnswer(frame.get());
        }
        if (violation.isPresent()) {
            context.recordViolation(violation.get(), address);
            throw new IOException(violation.get().name());
        }
        if (state == State.OPEN) {
            write(connected, now);
        }
    }

    /**
     * Handles the answer to a keep-alive.
     *
     * @param frame A frame after the peer's greeting.
     * @return The peer's protocol violation, or empty if there is none.
     */
    private Optional<FrameViolation> handleKeepAliveAnswer(Frame frame) {
        if (frame.type() != Frame.KEEP_ALIVE) {
            return Optional.of(FrameViolation.MALFORMED);
        }
        keepAliveSentAt = Optional.empty();
        answersKeepAlives = true;
        return Optional.empty();
    }

    /**
     * Checks the peer's greeting.
     *
     * @param frame The first frame from the peer.
     * @param now The monotonic time in nanoseconds.
     * @return The peer's protocol violation, or empty if there is none.
     */
    private Optional<FrameViolation> handleGreeting(Frame frame, long now) {
        Optional<Greeting> greeting = context.codec()
                .decodeGreeting(frame)
                .filter(candidate -> candidate.isAuthentic(
                        context.settings().site(), context.settings().token()));
        if (greeting.isEmpty()) {
            return Optional.of(FrameViolation.UNWELCOME);
        }
        remote = greeting.map(Greeting::identity);
        nextBackoff = context.settings().initialBackoff();
        enter(State.OPEN, now);
        return Optional.empty();
    }

    /**
     * Writes messages until the queue is empty or the channel accepts no more bytes.
     *
     * @param connected The channel.
     * @param now The monotonic time in nanoseconds.
     * @throws IOException If the channel failed.
     */
    private void write(PeerChannel connected, long now) throws IOException {
        while (current.isPresent() || takeNext()) {
            int before = frameBuffer.remaining();
            boolean complete = connected.write(frameBuffer);
            lastProgress = frameBuffer.remaining() < before ? now : lastProgress;
            if (!complete) {
                connected.interest(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            context.metrics().messageOut();
            messagesSinceKeepAlive++;
            current = Optional.empty();
        }
        connected.interest(SelectionKey.OP_READ);
    }

    /**
     * Removes the next message for the connected peer from the queue. A message for another node is reported as
     * undeliverable, since the address now belongs to a different node.
     *
     * @return {@code true} if there is a message to write.
     */
    private boolean takeNext() {
        Optional<QueuedMessage> candidate = queue.poll();
        while (candidate.isPresent() && !isForRemote(candidate.get())) {
            context.reportUndeliverable(candidate.get());
            candidate = queue.poll();
        }
        current = candidate;
        current.ifPresent(
                message -> frameBuffer = ByteBuffer.wrap(message.frame().unsafeArray()));
        return current.isPresent();
    }

    /**
     * Returns whether a message is for the connected peer.
     *
     * @param message The message.
     * @return {@code true} if the message has no target or the peer is its target.
     */
    private boolean isForRemote(QueuedMessage message) {
        return message.target().isEmpty() || remote.map(NodeIdentity::name).equals(message.target());
    }

    /**
     * Runs an operation on the channel, and handles its failure.
     *
     * @param operation The operation.
     * @param now The monotonic time in nanoseconds.
     */
    private void attempt(Operation operation, long now) {
        try {
            operation.run();
        } catch (IOException | RuntimeException exception) {
            failed(exception.toString(), now);
        }
    }

    /**
     * Enters a state.
     *
     * @param entered The state.
     * @param now The monotonic time in nanoseconds.
     */
    private void enter(State entered, long now) {
        state = entered;
        keepAliveSentAt = Optional.empty();
        answersKeepAlives = false;
        messagesSinceKeepAlive = MESSAGES_PER_KEEP_ALIVE;
        stateSince = now;
        lastProgress = now;
    }

    /**
     * Doubles a backoff delay.
     *
     * @param duration The backoff delay.
     * @return Twice the delay, up to the maximum.
     */
    private Duration doubled(Duration duration) {
        Duration twice = duration.multipliedBy(2);
        Duration maximum = context.settings().maximumBackoff();
        return twice.compareTo(maximum) < 0 ? twice : maximum;
    }

    /** The state of a connection. */
    private enum State {
        /** There is no connection, since there is no message to send. */
        IDLE,
        /** The connection is being established. */
        CONNECTING,
        /** The connection is established, and the peer's greeting is awaited. */
        GREETING,
        /** Messages can be sent. */
        OPEN,
        /** The latest attempt failed, and the next one waits for the backoff delay. */
        BACKING_OFF
    }

    /** An operation on a channel. */
    @FunctionalInterface
    private interface Operation {

        /**
         * Runs the operation.
         *
         * @throws IOException If the channel failed.
         */
        void run() throws IOException;
    }
}
