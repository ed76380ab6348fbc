package io.yuccaswitch.core.registry;

import java.time.Duration;

/**
 * How old what a node knows of endpoints may be. Whatever delays news of a leaving endpoint shares these times, as
 * their sum is what callers and endpoints see.
 */
public final class RegistryAge {

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

    /** This class has no instances. */
    private RegistryAge() {}
}
