package io.yuccaswitch.protocol;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** The metrics of the transport. */
final class PeerTransportMetrics {

    /** The prefix of all metric names. */
    private static final String PREFIX = "peer";

    /** The messages that were handed to the network. */
    private final Meter messagesOut;

    /** The bytes that were handed to the network. */
    private final Meter bytesOut;

    /** The received messages. */
    private final Meter messagesIn;

    /** The received bytes. */
    private final Meter bytesIn;

    /** The messages that were dropped because a peer's queue was full. */
    private final Counter dropped;

    /** The messages that were not handed to the network, such as those to an unreachable peer. */
    private final Counter undeliverable;

    /** The received messages of unknown types. */
    private final Counter unknownTypes;

    /** The open connections. */
    private final Counter connections;

    /** The connections that were closed for a protocol violation, by violation. */
    private final Map<FrameViolation, Counter> violations = new EnumMap<>(FrameViolation.class);

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
            violations.put(violation, registry.counter(MetricRegistry.name(PREFIX, "cut-off", name)));
        }
    }

    /** Counts a message that was completely handed to the network. */
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

    /** Counts a received message. */
    void messageIn() {
        messagesIn.mark();
    }

    /**
     * Counts received bytes.
     *
     * @param count The number of bytes.
     */
    void bytesIn(long count) {
        bytesIn.mark(count);
    }

    /** Counts a message that was dropped because a peer's queue was full. */
    void dropped() {
        dropped.inc();
    }

    /** Counts a message that was not handed to the network. */
    void undeliverable() {
        undeliverable.inc();
    }

    /** Counts a received message of an unknown type. */
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
     * Counts a connection that was closed for a protocol violation.
     *
     * @param violation The violation.
     */
    void recordViolation(FrameViolation violation) {
        violations.get(violation).inc();
    }
}
