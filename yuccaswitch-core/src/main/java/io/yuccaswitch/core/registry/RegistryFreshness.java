package io.yuccaswitch.core.registry;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * The freshness of this node's copy of the registry, and the maximum ages that apply to it. All delays between an
 * endpoint's report that it leaves and its last request share these times, as endpoints observe their sum.
 *
 * @param confirmedAt The latest time as of which this node's copy is guaranteed to include every change at the
 *     platform, or empty before the first entries were received.
 * @param platformUnreachable Whether the platform is unreachable from this node.
 */
public record RegistryFreshness(Optional<MonotonicTime> confirmedAt, boolean platformUnreachable) {

    /** The time after which an endpoint that has reported that it leaves gets no new work. */
    public static final Duration MAXIMUM_LEAVING_DELAY = Duration.ofSeconds(2);

    /** The part of this time that is reserved for opening a connection and sending a request to the endpoint. */
    private static final Duration SENDING_MARGIN = Duration.ofMillis(300);

    /** The maximum age at which a request may be sent. */
    public static final Duration MAXIMUM_DISPATCH_AGE = MAXIMUM_LEAVING_DELAY.minus(SENDING_MARGIN);

    /**
     * The age at which a node confirms its copy at the platform itself: above the age that it reaches through other
     * nodes without failures, and low enough for the next tick and one call before the maximum age for requests.
     */
    static final Duration CONFIRMATION_AGE = Duration.ofMillis(1200);

    /** The freshness before the first entries were received. */
    public static final RegistryFreshness UNKNOWN = new RegistryFreshness(Optional.empty(), false);

    /**
     * Returns the age of this node's copy.
     *
     * @param now The current time.
     * @return The age, or empty before the first entries were received.
     */
    public Optional<Duration> age(MonotonicTime now) {
        return confirmedAt.map(now::since);
    }

    /**
     * Returns whether this node's copy is recent enough for sending a request.
     *
     * @param now The current time.
     * @return {@code true} if it is.
     */
    public boolean isFreshEnough(MonotonicTime now) {
        return age(now).filter(age -> age.compareTo(MAXIMUM_DISPATCH_AGE) <= 0).isPresent();
    }

    /**
     * Returns whether requests may be sent to working endpoints. While the platform answers nobody, no endpoint can
     * have reported there that it leaves, so requests are still sent by the latest state.
     *
     * @param now The current time.
     * @return {@code true} if they may.
     */
    public boolean allowsDispatch(MonotonicTime now) {
        return isFreshEnough(now) || (platformUnreachable && confirmedAt.isPresent());
    }
}
