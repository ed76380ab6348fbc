package io.yuccaswitch.endpoint;

import java.util.Optional;
import okhttp3.HttpUrl;

/**
 * Determines which targets of requests can be sent to endpoints unchanged. The client library removes dot segments,
 * also encoded ones, and encodes some characters.
 */
public final class SendableTarget {

    /** An address, which doesn't matter for the target. */
    private static final String ANY_ADDRESS = "http://127.0.0.1";

    /** No instances. */
    private SendableTarget() {}

    /**
     * Returns why a target can't be sent.
     *
     * @param target The path with the query.
     * @return The reason, or empty if the target is sent as it is.
     */
    public static Optional<String> flaw(String target) {
        if (!target.startsWith("/")) {
            return Optional.of("the target does not begin with a slash");
        }
        HttpUrl url = HttpUrl.parse(ANY_ADDRESS + target);
        if (url == null) {
            return Optional.of("the target is not valid");
        }
        String query = url.encodedQuery();
        String sent = url.encodedPath() + (query == null ? "" : "?" + query);
        return sent.equals(target)
                ? Optional.empty()
                : Optional.of("the target has dot segments or characters that must be encoded");
    }
}
