package io.yuccaswitch.core.quarantine;

import java.time.Duration;

/** How a request is handled, given the endpoints that terminated while processing it. */
public sealed interface Verdict {

    /** It is served without restrictions. */
    record Serve() implements Verdict {}

    /**
     * It is served, but may have made endpoints terminate. Each attempt uses a new connection, so that the termination
     * of an endpoint can be distinguished from a connection that was closed before.
     */
    record Observe() implements Verdict {}

    /**
     * It is limited to one attempt, and none that could terminate the last endpoint of a service. It is not refused, as
     * other requests that were in flight at the same endpoints are equally suspect.
     */
    record Restrain() implements Verdict {}

    /** Its hold time has elapsed, and it is granted one attempt as a trial. */
    record Trial() implements Verdict {}

    /**
     * It is refused.
     *
     * @param retryDelay The delay after which it is let through again.
     */
    record Refuse(Duration retryDelay) implements Verdict {}

    /**
     * Returns whether the request may be sent to another endpoint after an attempt returned no answer.
     *
     * @return {@code false} if it is limited to one attempt.
     */
    default boolean allowsRetry() {
        return this instanceof Serve || this instanceof Observe;
    }
}
