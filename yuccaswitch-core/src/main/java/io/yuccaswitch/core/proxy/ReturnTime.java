package io.yuccaswitch.core.proxy;

import java.time.Duration;

/**
 * When a caller whose request has not run should come back. It answers the moment at which a service is full or gone
 * for all: callers that were refused together and told the same time would return together, and be refused again.
 */
public final class ReturnTime {

    /** The shortest time: a few round trips to a caller, below which coming back only costs. */
    private static final Duration SHORTEST = Duration.ofMillis(20);

    /** The longest time: callers wait for a third of their time at most, and few have more than three seconds. */
    private static final Duration LONGEST = Duration.ofSeconds(1);

    /** This class has no instances. */
    private ReturnTime() {}

    /**
     * Returns when a caller should come back.
     *
     * @param untilFree The time until a place is expected to be free.
     * @param drawn A number from 0 to below 1, drawn evenly for each caller.
     * @return The time, spread evenly from that time to twice as long.
     */
    public static Duration of(Duration untilFree, double drawn) {
        Duration least = untilFree.compareTo(SHORTEST) < 0 ? SHORTEST : untilFree;
        Duration bounded = least.compareTo(LONGEST) < 0 ? least : LONGEST;
        return Duration.ofNanos((long) (bounded.toNanos() * (1 + drawn)));
    }
}
