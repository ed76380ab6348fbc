package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * A plain request as it arrived.
 *
 * @param id The identifier that the caller gave it.
 * @param method The method.
 * @param target The path with the query, as the caller sent them.
 * @param headers The headers that are passed on, in order.
 * @param body The body.
 * @param route The route.
 * @param deadline When the caller is answered at the latest.
 */
record PlainRequest(
        String id,
        String method,
        String target,
        List<Map.Entry<String, String>> headers,
        Bytes body,
        Route route,
        MonotonicTime deadline) {

    /** Copies the headers. */
    PlainRequest {
        headers = List.copyOf(headers);
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
