package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/** What the exchange between nodes says about whether the platform answers any of them. */
@FunctionalInterface
public interface PlatformNews {

    /** Knows nothing, such that nobody ever concludes that the platform is silent. */
    PlatformNews UNKNOWN = _now -> Optional.empty();

    /**
     * Returns for how long no node heard the platform. An implementation must answer with an empty result unless it has
     * recent news from at least half of the nodes that were working when the platform was last heard.
     *
     * @param now The current time.
     * @return The time since the latest answer of the platform to any node, or empty if too little is known.
     */
    Optional<Duration> silentFor(MonotonicTime now);
}
