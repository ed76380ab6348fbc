package io.yuccaswitch.core.quarantine;

import java.time.Duration;

/** What is done with a request, as far as it is known for what it did to endpoints. */
public sealed interface Verdict {

    /** It is served as any other. */
    record Serve() implements Verdict {}

    /**
     * It is served, but it may have ended endpoints: each attempt goes over a connection of its own, such that the end
     * of an endpoint can be told from a connection that had ended before.
     */
    record Observe() implements Verdict {}

    /**
     * It gets one attempt, and none that could cost a service its last endpoint. Others that were in flight at the same
     * endpoints may be in the same place, so it is not refused for good.
     */
    record Restrain() implements Verdict {}

    /** It was held, and gets one attempt by which it may prove harmless. */
    record Try() implements Verdict {}

    /**
     * It is refused.
     *
     * @param comeBack When it will be let through again.
     */
    record Refuse(Duration comeBack) implements Verdict {}

    /**
     * Returns whether the request may go on to another endpoint after an attempt brought no answer.
     *
     * @return {@code false} if it gets one attempt at most.
     */
    default boolean allowsRetry() {
        return this instanceof Serve || this instanceof Observe;
    }
}
