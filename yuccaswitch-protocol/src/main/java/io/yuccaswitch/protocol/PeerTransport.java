package io.yuccaswitch.protocol;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Exchanges messages between this node and others. One thread serves all connections, regardless of the number of
 * nodes. A message may be lost when a connection breaks after it was written; one that was never handed to the network
 * is reported as undeliverable.
 */
public final class PeerTransport implements AutoCloseable {

    /** The interval between checks for timeouts. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(PeerTransport.class);

    /** The state that all connections share. */
    private final TransportContext context;

    /** The addresses on which nodes listen. */
    private final PeerAddressBook addresses;

    /** The selector that all channels are registered with. */
    private final Selector selector;

    /** The channel that accepts connections. */
    private final ServerSocketChannel server;

    /** The tasks that other threads submit to the transport's thread. */
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

    /** The connections from this node to others by address, confined to the transport's thread. */
    private final Map<InetSocketAddress, OutgoingPeer> outgoing = new HashMap<>();

    /** The connections from others to this node, confined to the transport's thread. */
    private final Set<IncomingPeer> incoming = Collections.newSetFromMap(new IdentityHashMap<>());

    /** The thread that serves all connections. */
    private final Thread thread;

    /** Whether the transport has not been closed. */
    private volatile boolean running = true;

    /**
     * Opens a transport that listens, but serves no connection before it is started.
     *
     * @param settings The settings.
     * @param registry The types of messages of all concepts.
     * @param self The identity in this node's greetings.
     * @param addresses The addresses on which nodes listen.
     * @param events The consumer that passes events to the decision core. It must be thread-safe and must not block.
     * @param metrics The registry to count in.
     */
    public PeerTransport(
            PeerTransportSettings settings,
            PeerMessageRegistry registry,
            NodeIdentity self,
            PeerAddressBook addresses,
            Consumer<? super Event> events,
            MetricRegistry metrics) {
        this.addresses = addresses;
        try {
            selector = Selector.open();
            server = ServerSocketChannel.open();
            server.bind(settings.bindAddress());
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException exception) {
            throw new UncheckedIOException("Can't listen on " + settings.bindAddress(), exception);
        }
        PeerMessageCodec codec = new PeerMessageCodec(registry, PeerTransportSettings.MAXIMUM_FRAME_LENGTH);
        context = new TransportContext(settings, codec, new PeerTransportMetrics(metrics), events, selector, self);
        thread = new Thread(this::run, "peer-transport");
        thread.setDaemon(true);
    }

    /** Starts to serve connections. */
    public void start() {
        thread.start();
    }

    /**
     * Returns the address that the transport listens on.
     *
     * @return The address with the bound port.
     */
    public InetSocketAddress localAddress() {
        try {
            return (InetSocketAddress) server.getLocalAddress();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Subscribes to the effects of the decision core and executes them.
     *
     * @param effects The effects.
     * @return The subscription.
     */
    public Disposable subscribe(Observable<PeerEffect> effects) {
        return effects.subscribe(this::execute);
    }

    /**
     * Executes an effect. This method is safe to call from any thread and does not block.
     *
     * @param effect The effect.
     */
    public void execute(PeerEffect effect) {
        if (effect instanceof PeerEffect.Send send) {
            send(send.target(), send.message());
        } else if (effect instanceof PeerEffect.SendToAddress send) {
            sendToAddress(send.address(), send.message());
        }
    }

    /**
     * Changes the identity in this node's greetings. All connections to other nodes are closed, and opened again when
     * needed.
     *
     * @param identity The identity of this node.
     */
    public void identify(NodeIdentity identity) {
        submit(() -> {
            context.identify(identity);
            outgoing.values().forEach(peer -> peer.disconnect("new identity", System.nanoTime()));
        });
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        running = false;
        selector.wakeup();
        if (!thread.isAlive()) {
            release();
        }
    }

    /**
     * Sends a message to a node.
     *
     * @param target The node.
     * @param message The message.
     */
    private void send(NodeName target, PeerMessage message) {
        if (target.equals(context.self().name())) {
            context.raise(new PeerEvent.Received(context.self(), message));
            return;
        }
        Optional<InetSocketAddress> address = addresses.find(target);
        Optional<Bytes> frame = context.codec().encode(message);
        if (address.isEmpty() || frame.isEmpty()) {
            context.reportUndeliverable(new QueuedMessage(Optional.of(target), message, Bytes.EMPTY));
            return;
        }
        enqueue(address.get(), new QueuedMessage(Optional.of(target), message, frame.get()));
    }

    /**
     * Sends a message to the node that listens at an address, without checking its name.
     *
     * @param address The address as {@code host:port}.
     * @param message The message.
     */
    private void sendToAddress(String address, PeerMessage message) {
        Optional<InetSocketAddress> parsed = PeerAddresses.parse(address);
        Optional<Bytes> frame = context.codec().encode(message);
        if (parsed.isEmpty() || frame.isEmpty()) {
            LOGGER.warnf("event=peer-message-dropped address=%s", address);
            return;
        }
        enqueue(parsed.get(), new QueuedMessage(Optional.empty(), message, frame.get()));
    }

    /**
     * Passes a message to the transport's thread.
     *
     * @param address The address of the peer.
     * @param message The message.
     */
    private void enqueue(InetSocketAddress address, QueuedMessage message) {
        submit(() -> outgoing.computeIfAbsent(address, target -> new OutgoingPeer(context, target))
                .send(message, System.nanoTime()));
    }

    /**
     * Submits a task to the transport's thread.
     *
     * @param task The task.
     */
    private void submit(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** Serves all connections until the transport is closed. */
    private void run() {
        long nextSweep = System.nanoTime();
        while (running) {
            try {
                selector.select(this::ready, SWEEP_INTERVAL.toMillis());
            } catch (IOException exception) {
                LOGGER.errorf("event=peer-selector-failed reason=\"%s\"", exception);
            }
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                task.run();
            }
            long now = System.nanoTime();
            if (now - nextSweep >= 0) {
                sweep(now);
                nextSweep = now + SWEEP_INTERVAL.toNanos();
            }
        }
        release();
    }

    /**
     * Serves a channel that is ready.
     *
     * @param key The channel's registration.
     */
    private void ready(SelectionKey key) {
        long now = System.nanoTime();
        if (!(key.attachment() instanceof ChannelHandler)) {
            accept(now);
            return;
        }
        ChannelHandler handler = (ChannelHandler) key.attachment();
        try {
            handler.ready(now);
        } catch (IOException | RuntimeException exception) {
            handler.failed(exception.toString(), now);
        }
    }

    /**
     * Accepts a connection, unless the maximum number of connections is reached.
     *
     * @param now The monotonic time in nanoseconds.
     */
    private void accept(long now) {
        try {
            SocketChannel accepted = server.accept();
            if (accepted == null) {
                return;
            }
            if (incoming.size() >= context.settings().incomingConnections()) {
                accepted.close();
                return;
            }
            incoming.add(new IncomingPeer(context, accepted, incoming::remove, now));
        } catch (IOException exception) {
            LOGGER.warnf("event=peer-accept-failed reason=\"%s\"", exception);
        }
    }

    /**
     * Checks all connections for timeouts.
     *
     * @param now The monotonic time in nanoseconds.
     */
    private void sweep(long now) {
        List.copyOf(incoming).forEach(peer -> peer.sweep(now));
        outgoing.values().removeIf(peer -> peer.sweep(now));
    }

    /** Closes all connections, the server channel and the selector. */
    private void release() {
        incoming.forEach(IncomingPeer::close);
        outgoing.values().forEach(peer -> peer.disconnect("closed", System.nanoTime()));
        try {
            server.close();
            selector.close();
        } catch (IOException exception) {
            LOGGER.debugf("event=peer-close-failed reason=\"%s\"", exception);
        }
    }
}
