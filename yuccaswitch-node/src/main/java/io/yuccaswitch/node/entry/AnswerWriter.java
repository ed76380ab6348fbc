package io.yuccaswitch.node.entry;

import io.javalin.http.Context;
import io.yuccaswitch.core.request.Outcome;
import io.yuccaswitch.core.request.RequestId;
import java.time.Duration;
import java.util.Optional;

/** Writes answers and errors. */
final class AnswerWriter {

    /** The content type of documents. */
    static final String JSON = "application/json";

    /** The header that says when a retry may succeed. */
    private static final String RETRY_AFTER = "Retry-After";

    /** The status of a request that is invalid in any configuration. */
    private static final int BAD_REQUEST = 400;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1000;

    /** This class has no instances. */
    private AnswerWriter() {}

    /**
     * Writes an outcome.
     *
     * @param context The request.
     * @param id The identifier of the request.
     * @param outcome The outcome.
     */
    static void write(Context context, RequestId id, Outcome outcome) {
        context.header(EntryHeaders.REQUEST_ID, id.value());
        if (outcome instanceof Outcome.Answered answered) {
            context.status(answered.status());
            if (!answered.contentType().isEmpty()) {
                context.contentType(answered.contentType());
            }
            context.result(answered.body().unsafeArray());
            return;
        }
        OutcomeStatus status = OutcomeStatus.of(outcome);
        error(context, status.status(), document(id, status), status.retryAfter());
    }

    /**
     * Describes an outcome without an answer.
     *
     * @param id The identifier of the request.
     * @param status The description of the outcome.
     * @return The document.
     */
    static ErrorDocument document(RequestId id, OutcomeStatus status) {
        return ErrorDocument.of(status.code(), status.message(), status.ran(), status.retryAfter(), id.value());
    }

    /**
     * Writes a refusal of a request that did not reach the decision core. Unless the request itself is invalid, a
     * request with an id that the caller gave may have run earlier, with another configuration or through another node.
     *
     * @param context The request.
     * @param refusal The refusal.
     */
    static void refuse(Context context, EntryException refusal) {
        String id = Optional.ofNullable(context.header(EntryHeaders.REQUEST_ID)).orElse("");
        boolean definitelyNotRun = id.isEmpty() || refusal.status() == BAD_REQUEST;
        ErrorDocument document = ErrorDocument.of(
                refusal.code(),
                refusal.getMessage(),
                definitelyNotRun ? ErrorDocument.Ran.NO : ErrorDocument.Ran.UNKNOWN,
                refusal.retryAfter(),
                id);
        error(context, refusal.status(), document, refusal.retryAfter());
    }

    /**
     * Writes an error.
     *
     * @param context The request.
     * @param status The HTTP status.
     * @param document The document.
     * @param retryAfter The time after which a retry may succeed, or empty.
     */
    private static void error(Context context, int status, ErrorDocument document, Optional<Duration> retryAfter) {
        retryAfter.ifPresent(time -> context.header(
                RETRY_AFTER, Long.toString((time.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)));
        context.status(status).contentType(JSON).result(EntryJson.write(document));
    }
}
