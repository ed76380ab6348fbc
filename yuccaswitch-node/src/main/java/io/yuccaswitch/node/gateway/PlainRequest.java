package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * A plain request as it arrived.
 *
 * @param outgoing What endpoints get of it.
 * @param route The route.
 * @param deadline When the caller is answered at the latest.
 */
record PlainRequest(OutgoingRequest outgoing, Route route, MonotonicTime deadline) {

    /**
     * Returns the identifier that the caller gave it.
     *
     * @return The identifier, or an empty text if there is none.
     */
    String id() {
        return outgoing.id();
    }

    /**
     * Returns the time that is left.
     *
     * @param now The present.
     * @return The time, which may be negative.
     */
    Duration left(MonotonicTime now) {
        return deadline.since(now);
    }
}
