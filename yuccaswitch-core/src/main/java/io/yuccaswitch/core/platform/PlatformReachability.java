package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/** The nodes' combined state of whether the platform answers any of them. */
@FunctionalInterface
public interface PlatformReachability {

    /** No information, such that the platform is never considered unreachable from all nodes. */
    PlatformReachability UNKNOWN = _now -> Optional.empty();

    /**
     * Returns the time for which no node has received an answer from the platform. An implementation must return empty
     * unless it has recent reports from at least half of the nodes that were working at the time of the latest answer.
     *
     * @param now The current time.
     * @return The time since the latest answer of the platform to any node, or empty without enough recent reports.
     */
    Optional<Duration> unreachableFor(MonotonicTime now);
}
