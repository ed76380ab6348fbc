package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.quarantine.RequestFingerprint;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * A plain request as received.
 *
 * @param outgoing The request in the form that endpoints receive.
 * @param route The route.
 * @param deadline The time by which the caller must be answered.
 */
record PlainRequest(OutgoingRequest outgoing, Route route, MonotonicTime deadline) {

    /**
     * Returns the identifier that the caller assigned to the request.
     *
     * @return The identifier, or an empty text if there is none.
     */
    String id() {
        return outgoing.id();
    }

    /**
     * Computes the fingerprint that identifies the request when its caller sends it again. Callers are identified by
     * their accounts, or by their credentials if there are no accounts, because the address of a caller may change with
     * each connection.
     *
     * @return The fingerprint.
     */
    RequestFingerprint fingerprint() {
        return RequestFingerprint.of(
                outgoing.account().map(AccountName::value).orElseGet(() -> outgoing.header("Authorization")),
                outgoing.header("Host"),
                outgoing.method(),
                outgoing.target(),
                outgoing.body());
    }

    /**
     * Describes the request for operators, without its query, headers and body.
     *
     * @return The method, host and path.
     */
    String describe() {
        String target = outgoing.target();
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return outgoing.method() + " " + outgoing.header("Host") + path;
    }

    /**
     * Returns the priority by which the request waits for a slot.
     *
     * @return The priority, where 0 is the most urgent.
     */
    int priority() {
        return outgoing.priority().orElse(route.priority());
    }

    /**
     * Returns the time until the deadline.
     *
     * @param now The current time.
     * @return The time, which may be negative.
     */
    Duration timeLeft(MonotonicTime now) {
        return deadline.since(now);
    }
}
