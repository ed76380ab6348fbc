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
 * The connection from this node to the peer at one address, made when there is something to send. A message waits until
 * the peer has answered the greeting; while attempts to connect fail, messages are given up at once.
 */
final class OutgoingPeer implements ChannelHandler {

    /**
     * How long a keep-alive may stay without its answer. A connection that has gone silent for good shows no error, and
     * what is written to it is lost; with this it is replaced within about 1.5 s, before a peer is taken to be gone.
     */
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);

    /**
     * After how many messages a keep-alive is sent. A node of a large site writes to most others once in half a minute,
     * and a keep-alive for each of these messages would treble the frames; what is lost on one is asked again through
     * others. A connection in regular use is looked at as often as it is used.
     */
    private static final int UNCONFIRMED_MESSAGES = 2;

    /** What all connections share. */
    private final TransportContext context;

    /** The address of the peer. */
    private final InetSocketAddress address;

    /** The messages that wait. */
    private final MessageQueue queue;

    /** What the connection is at. */
    private State state = State.IDLE;

    /** The channel, but while idle or backing off. */
    private Optional<PeerChannel> channel = Optional.empty();

    /** The peer, once it has greeted. */
    private Optional<NodeIdentity> remote = Optional.empty();

    /** The message that is being written. */
    private Optional<QueuedMessage> current = Optional.empty();

    /** The bytes that are being written. */
    private ByteBuffer writing = ByteBuffer.allocate(0);

    /** The monotonic time in nanoseconds at which the state began. */
    private long stateSince;

    /** The monotonic time in nanoseconds at which bytes were last written, or there was last nothing to write. */
    private long lastProgress;

    /** The monotonic time in nanoseconds at which the keep-alive was sent whose answer is awaited, if any. */
    private Optional<Long> askedAt = Optional.empty();

    /** Whether the peer has answered a keep-alive on this connection, which older releases do not. */
    private boolean answersKeepAlives;

    /** How many messages were written since the last keep-alive. */
    private int unconfirmed;

    /** The time to wait after the next failed attempt. */
    private Duration backOff;

    /** The time to wait after the latest failed attempt. */
    private Duration waiting = Duration.ZERO;

    /**
     * Creates a new peer that is not connected.
     *
     * @param context What all connections share.
     * @param address The address of the peer.
     */
    OutgoingPeer(TransportContext context, InetSocketAddress address) {
        this.context = context;
        this.address = address;
        queue = new MessageQueue(
                context.settings().queuedMessages(), context.settings().queuedBytes());
        backOff = context.settings().initialBackOff();
    }

    /**
     * Sends a message, or lets it wait.
     *
     * @param message The message.
     * @param now The monotonic time in nanoseconds.
     */
    void send(QueuedMessage message, long now) {
        if (state == State.BACKING_OFF && now - stateSince < waiting.toNanos()) {
            context.giveUp(message);
            return;
        }
        if (queue.isEmpty() && current.isEmpty()) {
            lastProgress = now;
        }
        for (QueuedMessage dropped : queue.add(message)) {
            context.metrics().dropped();
            context.giveUp(dropped);
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
        boolean wasUseful = state == State.OPEN
                && now - stateSince > context.settings().maximumBackOff().toNanos();
        disconnect(reason, now);
        current.ifPresent(queue::putBack);
        current = Optional.empty();
        if (!wasUseful) {
            enter(State.BACKING_OFF, now);
            waiting = backOff;
            backOff = doubled(backOff);
            queue.drain().forEach(context::giveUp);
        } else if (!queue.isEmpty()) {
            connect(now);
        }
    }

    /**
     * Gives up on a connection that does not get ready or takes no bytes, and closes one that is not used.
     *
     * @param now The monotonic time in nanoseconds.
     * @return {@code true} if this peer holds nothing and can be forgotten.
     */
    boolean sweep(long now) {
        PeerTransportSettings settings = context.settings();
        boolean opening = state == State.CONNECTING || state == State.GREETING;
        boolean pending = current.isPresent() || !queue.isEmpty();
        if (opening && now - stateSince > settings.connectTimeout().toNanos()) {
            failed("timeout", now);
        } else if (state == State.OPEN
                && pending
                && now - lastProgress > settings.stallTimeout().toNanos()) {
            failed("stalled", now);
        } else if (state == State.OPEN
                && !pending
                && now - lastProgress > settings.idleTimeout().toNanos()) {
            disconnect("idle", now);
        } else if (state == State.OPEN && isSilent(now)) {
            failed("silent", now);
        } else if (state == State.OPEN && !pending && unconfirmed >= UNCONFIRMED_MESSAGES && askedAt.isEmpty()) {
            attempt(() -> keepAlive(channel.get(), now), now);
        }
        boolean waited = now - stateSince > settings.idleTimeout().toNanos();
        return channel.isEmpty() && queue.isEmpty() && (state == State.IDLE || waited);
    }

    /**
     * Returns whether the peer has left a keep-alive without an answer for too long.
     *
     * @param now The monotonic time in nanoseconds.
     * @return {@code true} if it has, and answers them otherwise.
     */
    private boolean isSilent(long now) {
        return answersKeepAlives
                && askedAt.filter(at -> now - at > SILENCE_TIMEOUT.toNanos()).isPresent();
    }

    /**
     * Asks the peer to show that the connection works.
     *
     * @param connected The channel.
     * @param now The monotonic time in nanoseconds.
     * @throws IOException If the channel failed.
     */
    private void keepAlive(PeerChannel connected, long now) throws IOException {
        askedAt = Optional.of(now);
        unconfirmed = 0;
        if (!connected.write(Frame.keepAlive())) {
            throw new IOException("The peer takes no keep-alive");
        }
    }

    /**
     * Closes the connection, such that the next message makes a new one.
     *
     * @param reason The reason, for logs.
     * @param now The monotonic time in nanoseconds.
     */
    void disconnect(String reason, long now) {
        channel.ifPresent(PeerChannel::close);
        channel = Optional.empty();
        remote = Optional.empty();
        enter(State.IDLE, now);
        context.ended(address, reason);
    }

    /**
     * Starts to connect.
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
     * Greets the peer once the connection is made.
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
            throw new IOException("The peer takes no greeting");
        }
    }

    /**
     * Reads the peer's greeting and its answers to keep-alives, which are all that it may send on this connection.
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
            violation = state == State.GREETING ? welcome(frame.get(), now) : answer(frame.get());
        }
        if (violation.isPresent()) {
            context.cutOff(violation.get(), address);
            throw new IOException(violation.get().name());
        }
        if (state == State.OPEN) {
            write(connected, now);
        }
    }

    /**
     * Takes the answer to a keep-alive.
     *
     * @param frame A frame behind the peer's greeting.
     * @return How the peer broke the protocol, or empty if it did not.
     */
    private Optional<FrameViolation> answer(Frame frame) {
        if (frame.type() != Frame.KEEP_ALIVE) {
            return Optional.of(FrameViolation.MALFORMED);
        }
        askedAt = Optional.empty();
        answersKeepAlives = true;
        return Optional.empty();
    }

    /**
     * Checks the peer's greeting.
     *
     * @param frame The first frame of the peer.
     * @param now The monotonic time in nanoseconds.
     * @return How the peer broke the protocol, or empty if it did not.
     */
    private Optional<FrameViolation> welcome(Frame frame, long now) {
        Optional<Greeting> greeting = context.codec()
                .decodeGreeting(frame)
                .filter(candidate -> candidate.isWelcome(
                        context.settings().site(), context.settings().token()));
        if (greeting.isEmpty()) {
            return Optional.of(FrameViolation.UNWELCOME);
        }
        remote = greeting.map(Greeting::identity);
        backOff = context.settings().initialBackOff();
        enter(State.OPEN, now);
        return Optional.empty();
    }

    /**
     * Writes messages until there are none or the channel takes no more.
     *
     * @param connected The channel.
     * @param now The monotonic time in nanoseconds.
     * @throws IOException If the channel failed.
     */
    private void write(PeerChannel connected, long now) throws IOException {
        while (current.isPresent() || next()) {
            int before = writing.remaining();
            boolean whole = connected.write(writing);
            lastProgress = writing.remaining() < before ? now : lastProgress;
            if (!whole) {
                connected.interest(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            context.metrics().messageOut();
            unconfirmed++;
            current = Optional.empty();
        }
        connected.interest(SelectionKey.OP_READ);
    }

    /**
     * Takes the next message that is for the peer that listens at the address. A message for another node is given up:
     * the address has passed to a new node.
     *
     * @return {@code true} if there is a message to write.
     */
    private boolean next() {
        Optional<QueuedMessage> candidate = queue.poll();
        while (candidate.isPresent() && !isForRemote(candidate.get())) {
            context.giveUp(candidate.get());
            candidate = queue.poll();
        }
        current = candidate;
        current.ifPresent(message -> writing = ByteBuffer.wrap(message.frame().unsafeArray()));
        return current.isPresent();
    }

    /**
     * Returns whether a message is for the peer that greeted.
     *
     * @param message The message.
     * @return {@code true} if the peer is the message's target.
     */
    private boolean isForRemote(QueuedMessage message) {
        return message.target().isEmpty() || remote.map(NodeIdentity::name).equals(message.target());
    }

    /**
     * Does something with the channel, and handles its failure.
     *
     * @param operation What to do.
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
        askedAt = Optional.empty();
        answersKeepAlives = false;
        unconfirmed = UNCONFIRMED_MESSAGES;
        stateSince = now;
        lastProgress = now;
    }

    /**
     * Doubles the time to wait.
     *
     * @param duration The time to wait.
     * @return Twice the time, up to the longest one.
     */
    private Duration doubled(Duration duration) {
        Duration twice = duration.multipliedBy(2);
        Duration longest = context.settings().maximumBackOff();
        return twice.compareTo(longest) < 0 ? twice : longest;
    }

    /** What a connection is at. */
    private enum State {
        /** There is no connection, since there is nothing to send. */
        IDLE,
        /** The connection is being made. */
        CONNECTING,
        /** The connection is made, and the peer has not yet greeted. */
        GREETING,
        /** Messages can be sent. */
        OPEN,
        /** The latest attempt failed, and the next one is to come later. */
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
