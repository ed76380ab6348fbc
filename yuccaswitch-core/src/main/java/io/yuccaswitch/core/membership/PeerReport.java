package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * The latest report of another node about itself.
 *
 * @param receivedAt The time at which the report was received.
 * @param generation The highest generation of the configuration that it holds.
 * @param ready {@code true} if it has confirmed that no newer generation is available to it.
 * @param timeSincePlatformAnswer The time since the platform last answered it, or empty if it never did.
 */
public record PeerReport(
        MonotonicTime receivedAt, long generation, boolean ready, Optional<Duration> timeSincePlatformAnswer) {}
