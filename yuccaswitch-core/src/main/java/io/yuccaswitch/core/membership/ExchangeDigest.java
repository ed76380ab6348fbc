package io.yuccaswitch.core.membership;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a node says of itself in each exchange, small enough to be sent several times a second.
 *
 * @param tableHash The hash of the node's table of members, equal on nodes that believe the same.
 * @param generation The highest generation of the configuration that the node holds, or zero if it holds none.
 * @param ready {@code true} if the node has made sure that its generation is the newest one it can learn of.
 * @param platformLastHeardAgo The milliseconds since the platform last answered the node, or empty if it never did.
 * @param observation The latest answer of the platform to any node that the node knows of.
 */
public record ExchangeDigest(
        long tableHash,
        long generation,
        boolean ready,
        OptionalLong platformLastHeardAgo,
        Optional<PlatformObservation> observation) {}
