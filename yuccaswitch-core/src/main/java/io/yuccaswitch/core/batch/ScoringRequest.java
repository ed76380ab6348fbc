package io.yuccaswitch.core.batch;

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
     * Returns the path without its query, which selects the route.
     *
     * @return The path.
     */
    String routePath() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
