package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.NodeIdentity;

/**
 * An answer of the platform to some node. The number identifies the observation among those of the same node, so that a
 * node does not take a relayed observation for a newer one.
 *
 * @param observer The node that the platform answered.
 * @param number The number of the observation, which increases with each observation of the same node.
 * @param ageMillis The milliseconds since the answer.
 */
public record PlatformObservation(NodeIdentity observer, long number, long ageMillis) {}
