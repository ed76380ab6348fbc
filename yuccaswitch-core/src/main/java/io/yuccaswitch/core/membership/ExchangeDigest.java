package io.yuccaswitch.core.membership;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A summary of a node's own state in each exchange, small enough to be sent several times a second.
 *
 * @param tableHash The hash of the node's table of members, equal on nodes whose tables are equal.
 * @param generation The highest generation of the configuration that the node holds, or zero if it holds none.
 * @param ready {@code true} if the node has confirmed that no newer generation is available to it.
 * @param timeSincePlatformAnswer The milliseconds since the platform last answered the node, or empty if it never did.
 * @param observation The latest answer of the platform to any node that is recorded at the node.
 */
public record ExchangeDigest(
        long tableHash,
        long generation,
        boolean ready,
        OptionalLong timeSincePlatformAnswer,
        Optional<PlatformObservation> observation) {}
