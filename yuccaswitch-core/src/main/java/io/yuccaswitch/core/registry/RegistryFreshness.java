package io.yuccaswitch.core.registry;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * How old what a node knows of endpoints is, and how old it may be. Whatever delays news of a leaving endpoint shares
 * these times, as their sum is what endpoints see.
 *
 * @param confirmedAt When the platform surely held nothing beyond what is known, or empty before anything is known.
 * @param platformAway Whether the platform does not answer this node.
 */
public record RegistryFreshness(Optional<MonotonicTime> confirmedAt, boolean platformAway) {

    /** The time after which an endpoint that has said that it leaves gets no new work. */
    public static final Duration BOUND = Duration.ofSeconds(2);

    /** What a new connection and the way of a request to its endpoint may take out of the bound. */
    private static final Duration SENDING_TIME = Duration.ofMillis(300);

    /** The greatest age at which a request may be sent. */
    public static final Duration LIMIT = BOUND.minus(SENDING_TIME);

    /**
     * The age at which a node asks the platform itself: above what it reaches through other nodes while all is well,
     * and low enough for the next look at it and for one call before the limit.
     */
    static final Duration CONFIRMED = Duration.ofMillis(1200);

    /** Nothing is known. */
    public static final RegistryFreshness UNKNOWN = new RegistryFreshness(Optional.empty(), false);

    /**
     * Returns the age of what is known.
     *
     * @param now The present.
     * @return The age, or empty before anything is known.
     */
    public Optional<Duration> age(MonotonicTime now) {
        return confirmedAt.map(now::since);
    }

    /**
     * Returns whether what is known is recent enough for a request to be sent.
     *
     * @param now The present.
     * @return {@code true} if it is.
     */
    public boolean isWithinLimit(MonotonicTime now) {
        return age(now).filter(age -> age.compareTo(LIMIT) <= 0).isPresent();
    }

    /**
     * Returns whether requests may be sent to endpoints that are known to work. While the platform answers nobody, no
     * endpoint can have said there that it leaves, and callers are served by what was known last.
     *
     * @param now The present.
     * @return {@code true} if they may.
     */
    public boolean allowsDispatch(MonotonicTime now) {
        return isWithinLimit(now) || (platformAway && confirmedAt.isPresent());
    }
}
