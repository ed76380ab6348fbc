package io.yuccaswitch.protocol;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.peer.PeerEvent;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/** The state that all connections of a transport share, confined to the transport's thread. */
final class TransportContext {

    /** The maximum number of bytes of one read from a channel. */
    private static final int READ_BUFFER_SIZE = 64 * 1024;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(PeerTransport.class);

    /** The settings. */
    private final PeerTransportSettings settings;

    /** The codec. */
    private final PeerMessageCodec codec;

    /** The metrics. */
    private final PeerTransportMetrics metrics;

    /** The consumer that passes events to the decision core. */
    private final Consumer<? super Event> events;

    /** The selector that all channels are registered with. */
    private final Selector selector;

    /** The buffer for reads, which all channels share. */
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_SIZE);

    /** The identity in this node's greetings. */
    private volatile NodeIdentity self;

    /**
     * Creates a new context.
     *
     * @param settings The settings.
     * @param codec The codec.
     * @param metrics The metrics.
     * @param events The consumer that passes events to the decision core.
     * @param selector The selector that all channels are registered with.
     * @param self The identity in this node's greetings.
     */
    TransportContext(
            PeerTransportSettings settings,
            PeerMessageCodec codec,
            PeerTransportMetrics metrics,
            Consumer<? super Event> events,
            Selector selector,
            NodeIdentity self) {
        this.settings = settings;
        this.codec = codec;
        this.metrics = metrics;
        this.events = events;
        this.selector = selector;
        this.self = self;
    }

    /**
     * Returns the settings.
     *
     * @return The settings.
     */
    PeerTransportSettings settings() {
        return settings;
    }

    /**
     * Returns the codec.
     *
     * @return The codec.
     */
    PeerMessageCodec codec() {
        return codec;
    }

    /**
     * Returns the metrics.
     *
     * @return The metrics.
     */
    PeerTransportMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the selector.
     *
     * @return The selector.
     */
    Selector selector() {
        return selector;
    }

    /**
     * Returns the cleared read buffer.
     *
     * @return The read buffer.
     */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /**
     * Returns the identity in this node's greetings.
     *
     * @return The identity of this node.
     */
    NodeIdentity self() {
        return self;
    }

    /**
     * Changes the identity in this node's greetings on new connections.
     *
     * @param identity The identity of this node.
     */
    void identify(NodeIdentity identity) {
        self = identity;
    }

    /**
     * Returns the frame of this node's greeting.
     *
     * @return The frame of this node's greeting.
     */
    ByteBuffer greeting() {
        return ByteBuffer.wrap(codec.encode(new Greeting(self, settings.site(), settings.token()))
                .unsafeArray());
    }

    /**
     * Passes an event to the decision core.
     *
     * @param event The event.
     */
    void raise(Event event) {
        events.accept(event);
    }

    /**
     * Counts a message that was not handed to the network, and reports it as undeliverable if it has a target.
     *
     * @param message The message.
     */
    void reportUndeliverable(QueuedMessage message) {
        metrics.undeliverable();
        message.target().ifPresent(target -> raise(new PeerEvent.Undeliverable(target, message.message())));
    }

    /**
     * Counts and logs a protocol violation of a peer.
     *
     * @param violation The violation.
     * @param remote The peer, for logs.
     */
    void recordViolation(FrameViolation violation, Object remote) {
        metrics.recordViolation(violation);
        LOGGER.infof("event=peer-cut-off peer=%s violation=%s", remote, violation);
    }

    /**
     * Logs that a connection has ended.
     *
     * @param remote The peer, for logs.
     * @param reason The reason.
     */
    void logConnectionEnd(Object remote, String reason) {
        LOGGER.debugf("event=peer-connection-ended peer=%s reason=\"%s\"", remote, reason);
    }
}
