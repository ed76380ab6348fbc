package io.yuccaswitch.core.membership;

import java.time.Duration;

/**
 * The timing and limits of the membership protocol that operators do not need to tune.
 *
 * @param probeTimeout The time without an answer after which a partner is probed through other nodes.
 * @param indirectTimeout The time without a direct or indirect answer after which a partner is suspected.
 * @param indirectProbes The number of nodes that are requested to probe a partner.
 * @param pauseThreshold The minimum gap between two ticks that is treated as a pause of this node.
 * @param recoveryTimeout The maximum time that a node waits for an answer after a pause before it resumes normal
 *     operation.
 * @param contactInterval The interval at which a node whose table contains no other running node contacts seeds.
 * @param reconnectInterval The interval at which a dead member or an unclaimed seed is contacted.
 * @param joinTimeout The time without an answer after which a starting node considers itself alone.
 * @param tombstoneRetention The time for which a dead member is retained.
 * @param maximumTombstones The maximum number of dead members that are retained.
 */
public record MembershipOptions(
        Duration probeTimeout,
        Duration indirectTimeout,
        int indirectProbes,
        Duration pauseThreshold,
        Duration recoveryTimeout,
        Duration contactInterval,
        Duration reconnectInterval,
        Duration joinTimeout,
        Duration tombstoneRetention,
        int maximumTombstones) {

    /** The options that a node uses. */
    public static final MembershipOptions DEFAULT = new MembershipOptions(
            Duration.ofMillis(400),
            Duration.ofMillis(1200),
            3,
            Duration.ofSeconds(1),
            Duration.ofSeconds(5),
            Duration.ofMillis(500),
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            Duration.ofHours(1),
            512);
}
