package io.yuccaswitch.protocol;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** What the transport counts. */
final class PeerTransportMetrics {

    /** The prefix of all names. */
    private static final String PREFIX = "peer";

    /** The messages that were handed to the network. */
    private final Meter messagesOut;

    /** The bytes that were handed to the network. */
    private final Meter bytesOut;

    /** The messages that arrived. */
    private final Meter messagesIn;

    /** The bytes that arrived. */
    private final Meter bytesIn;

    /** The messages that were dropped since a peer's queue was full. */
    private final Counter dropped;

    /** The messages that were dropped since their peer can't be reached. */
    private final Counter undeliverable;

    /** The messages of types that this release does not know. */
    private final Counter unknownTypes;

    /** The connections that are open. */
    private final Counter connections;

    /** The connections that were cut off, by the reason. */
    private final Map<FrameViolation, Counter> cutOff = new EnumMap<>(FrameViolation.class);

    /**
     * Creates the metrics.
     *
     * @param registry The registry to count in.
     */
    PeerTransportMetrics(MetricRegistry registry) {
        messagesOut = registry.meter(MetricRegistry.name(PREFIX, "messages", "out"));
        bytesOut = registry.meter(MetricRegistry.name(PREFIX, "bytes", "out"));
        messagesIn = registry.meter(MetricRegistry.name(PREFIX, "messages", "in"));
        bytesIn = registry.meter(MetricRegistry.name(PREFIX, "bytes", "in"));
        dropped = registry.counter(MetricRegistry.name(PREFIX, "messages", "dropped"));
        undeliverable = registry.counter(MetricRegistry.name(PREFIX, "messages", "undeliverable"));
        unknownTypes = registry.counter(MetricRegistry.name(PREFIX, "messages", "unknown-type"));
        connections = registry.counter(MetricRegistry.name(PREFIX, "connections"));
        for (FrameViolation violation : FrameViolation.values()) {
            String name = violation.name().toLowerCase(Locale.ROOT).replace('_', '-');
            cutOff.put(violation, registry.counter(MetricRegistry.name(PREFIX, "cut-off", name)));
        }
    }

    /** Counts a message that was handed to the network as a whole. */
    void messageOut() {
        messagesOut.mark();
    }

    /**
     * Counts bytes that were handed to the network.
     *
     * @param count The number of bytes.
     */
    void bytesOut(long count) {
        bytesOut.mark(count);
    }

    /** Counts a message that arrived. */
    void messageIn() {
        messagesIn.mark();
    }

    /**
     * Counts bytes that arrived.
     *
     * @param count The number of bytes.
     */
    void bytesIn(long count) {
        bytesIn.mark(count);
    }

    /** Counts a message that was dropped since a peer's queue was full. */
    void dropped() {
        dropped.inc();
    }

    /** Counts a message whose peer can't be reached. */
    void undeliverable() {
        undeliverable.inc();
    }

    /** Counts a message of a type that this release does not know. */
    void unknownType() {
        unknownTypes.inc();
    }

    /** Counts a connection that was opened. */
    void opened() {
        connections.inc();
    }

    /** Counts a connection that was closed. */
    void closed() {
        connections.dec();
    }

    /**
     * Counts a connection that was cut off.
     *
     * @param violation The reason.
     */
    void cutOff(FrameViolation violation) {
        cutOff.get(violation).inc();
    }
}
