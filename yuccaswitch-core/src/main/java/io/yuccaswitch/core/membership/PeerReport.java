package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * What another node last said of itself.
 *
 * @param heardAt The time at which it said so.
 * @param generation The highest generation of the configuration that it holds.
 * @param ready {@code true} if it may serve.
 * @param platformLastHeardAgo The time since the platform last answered it, or empty if it never did.
 */
public record PeerReport(
        MonotonicTime heardAt, long generation, boolean ready, Optional<Duration> platformLastHeardAgo) {}
