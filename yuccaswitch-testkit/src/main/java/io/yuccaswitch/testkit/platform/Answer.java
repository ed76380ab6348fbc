package io.yuccaswitch.testkit.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import java.util.Optional;
import java.util.OptionalLong;
import okio.ByteString;

/**
 * An answer to a call.
 *
 * @param status The HTTP status.
 * @param version The object's version for the header, if the answer carries one.
 * @param body The body.
 */
record Answer(int status, OptionalLong version, ByteString body) {

    /** The header that carries an object's version. */
    static final String VERSION_HEADER = "X-Object-Version";

    /** The status of success. */
    static final int OK = 200;

    /** The status of a malformed call. */
    static final int BAD_REQUEST = 400;

    /** The status of a call without the right token. */
    static final int UNAUTHORIZED = 401;

    /** The status of a read of an object that does not exist. */
    static final int NOT_FOUND = 404;

    /** The status of a write whose condition did not hold. */
    static final int CONFLICT = 409;

    /** The status of a write whose value is too large. */
    static final int TOO_LARGE = 413;

    /** The status of a call that exceeds a rate limit. */
    static final int TOO_MANY_REQUESTS = 429;

    /** The status of an outage. */
    static final int UNAVAILABLE = 503;

    /**
     * Creates an answer without a body.
     *
     * @param status The HTTP status.
     * @return The answer.
     */
    static Answer empty(int status) {
        return new Answer(status, OptionalLong.empty(), ByteString.EMPTY);
    }

    /**
     * Creates an answer with a JSON document.
     *
     * @param document The document.
     * @return The answer.
     */
    static Answer json(ObjectNode document) {
        return new Answer(OK, OptionalLong.empty(), ByteString.encodeUtf8(document.toString()));
    }

    /**
     * Creates the answer to a read.
     *
     * @param object The object, or empty if it does not exist.
     * @return The answer.
     */
    static Answer object(Optional<Revision> object) {
        return object.map(revision -> ofRevision(OK, revision)).orElseGet(() -> empty(NOT_FOUND));
    }

    /**
     * Creates the answer to a write or deletion.
     *
     * @param result The result.
     * @return The answer.
     */
    static Answer written(WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            return json(JsonNodeFactory.instance.objectNode().put("version", applied.version()));
        }
        Optional<Revision> current = ((WriteResult.Refused) result).current();
        return current.map(revision -> ofRevision(CONFLICT, revision)).orElseGet(() -> empty(CONFLICT));
    }

    /**
     * Creates the answer to a list or a watch.
     *
     * @param changes The changes or objects.
     * @return The answer.
     */
    static Answer listed(Changes changes) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("version", changes.version()).put("reset", changes.reset());
        ArrayNode objects = document.putArray("objects");
        for (Revision revision : changes.revisions()) {
            objects.addObject()
                    .put("name", revision.name())
                    .put("version", revision.version())
                    .put("deleted", revision.deleted())
                    .put("value", revision.value().base64());
        }
        return json(document);
    }

    /**
     * Creates an answer with an object.
     *
     * @param status The HTTP status.
     * @param revision The object.
     * @return The answer.
     */
    private static Answer ofRevision(int status, Revision revision) {
        return new Answer(status, OptionalLong.of(revision.version()), revision.value());
    }

    /**
     * Sends this answer.
     *
     * @param context The context of the call.
     */
    void send(Context context) {
        context.status(status);
        version.ifPresent(number -> context.header(VERSION_HEADER, Long.toString(number)));
        context.result(body.toByteArray());
    }
}
