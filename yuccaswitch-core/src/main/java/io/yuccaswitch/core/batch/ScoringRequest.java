package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.quarantine.RequestFingerprint;
import io.yuccaswitch.core.value.Bytes;
import java.util.regex.Pattern;

/**
 * The request to a plain service that scores the output of an item. It is idempotent, and is sent by {@code POST}
 * through the route of its own host and path.
 *
 * @param id The identifier of the request, which the service echoes.
 * @param host The host of its route.
 * @param path The path, with a query if there is one.
 * @param body The body.
 */
public record ScoringRequest(String id, String host, String path, Bytes body) {

    /** The method of the requests. */
    private static final String METHOD = "POST";

    /** The identifiers and hosts that can be sent in a header. */
    private static final Pattern HEADER_TEXT = Pattern.compile("[!-~]{1,256}");

    /** Validates that the request can be sent. */
    public ScoringRequest {
        if (!HEADER_TEXT.matcher(id).matches()) {
            throw new IllegalArgumentException("A scoring request needs an identifier of visible characters");
        }
        if (!HEADER_TEXT.matcher(host).matches()) {
            throw new IllegalArgumentException("A scoring request needs a host of visible characters");
        }
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("The path of a scoring request must begin with a slash: " + path);
        }
    }

    /**
     * Computes the fingerprint that identifies the request at all nodes. Requests for the items of a group may have the
     * same body, so the fingerprint includes the identifier.
     *
     * @return The fingerprint.
     */
    RequestFingerprint fingerprint() {
        return RequestFingerprint.of(id, host, METHOD, path, body);
    }

    /**
     * Describes the request for operators.
     *
     * @return The method, host, path and identifier.
     */
    String describe() {
        return METHOD + " " + host + routePath() + " scoring " + id;
    }

    /**
     * Returns the path without its query, which selects the route.
     *
     * @return The path.
     */
    String routePath() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
