package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.quarantine.RequestFingerprint;
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
     * Computes the fingerprint by which the request is recognised when its caller sends it again. Callers are told
     * apart by their accounts, or by their credentials where there are none, as the address of a caller may be new with
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
     * Describes the request for operators, without what its caller sends.
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
     * Returns the time that is left.
     *
     * @param now The present.
     * @return The time, which may be negative.
     */
    Duration left(MonotonicTime now) {
        return deadline.since(now);
    }
}
