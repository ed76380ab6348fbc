package io.yuccaswitch.testkit.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/** Creates the HTTP requests of a load. */
final class RequestWriter {

    /** The content type of all requests. */
    private static final MediaType JSON = MediaType.get("application/json");

    /** This class has no instances. */
    private RequestWriter() {}

    /**
     * Creates an HTTP request.
     *
     * @param kind The kind of the request.
     * @param address The address to send it to.
     * @param id The identifier of the request.
     * @param token The bearer token of the caller, if any.
     * @return The request.
     */
    static Request write(LoadMix.Kind kind, String address, String id, Optional<String> token) {
        Request.Builder request = new Request.Builder()
                .url("http://" + address + kind.entryPath())
                .header("X-Request-Id", id)
                .header("X-Idempotent", Boolean.toString(kind.idempotent()))
                .header("X-Deadline-Millis", Long.toString(kind.timeoutMillis()))
                .post(RequestBody.create(body(kind, id).toString(), JSON));
        token.ifPresent(value -> request.header("Authorization", "Bearer " + value));
        Optional.ofNullable(kind.priority()).ifPresent(value -> request.header("X-Priority", value));
        return request.build();
    }

    /**
     * Creates the body of a request. It contains the identifier, so that the answer can be distinguished from others.
     *
     * @param kind The kind of the request.
     * @param id The identifier of the request.
     * @return The body.
     */
    private static ObjectNode body(LoadMix.Kind kind, String id) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        if (kind.target() == LoadMix.Target.SERVICE) {
            return body.put("confirmation", id);
        }
        return body.put("model", kind.pool())
                .put("prompt", "match invoice " + id)
                .put("max_tokens", kind.maximumTokens())
                .put("stream", kind.streaming());
    }
}
