package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.NodeIdentity;

/**
 * An answer of the platform to some node. The number tells observations of the same node apart, such that an age that
 * is passed on again and again is not mistaken for news.
 *
 * @param observer The node that the platform answered.
 * @param number The number of the observation, which grows with each one of the same node.
 * @param ageMillis The milliseconds since the answer.
 */
public record PlatformObservation(NodeIdentity observer, long number, long ageMillis) {}
