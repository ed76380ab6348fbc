package io.yuccaswitch.core.membership;

import java.time.Duration;

/**
 * The times and bounds of the membership that need no tuning by operators.
 *
 * @param probeTimeout The time after which a partner that did not answer is probed through others.
 * @param indirectTimeout The time after which a partner that did not answer, directly or through others, is suspected.
 * @param indirectProbes The number of nodes that are asked to probe a partner.
 * @param pauseThreshold The gap between two ticks from which this node takes itself for paused.
 * @param doubtTime The longest time for which a node that was paused waits for an answer before it goes on as usual.
 * @param contactInterval The interval at which a node that knows nobody contacts seeds.
 * @param reconnectInterval The interval at which a dead member or an unclaimed seed is contacted.
 * @param aloneTime The time after which a node that nobody answers takes itself for alone.
 * @param tombstoneTime The time for which a dead member is remembered.
 * @param tombstones The largest number of dead members that are remembered.
 */
public record MembershipOptions(
        Duration probeTimeout,
        Duration indirectTimeout,
        int indirectProbes,
        Duration pauseThreshold,
        Duration doubtTime,
        Duration contactInterval,
        Duration reconnectInterval,
        Duration aloneTime,
        Duration tombstoneTime,
        int tombstones) {

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
