package io.yuccaswitch.core.request;

import io.yuccaswitch.core.value.Bytes;

/** The answer of an endpoint to a query for the outcome of a request that it may have run. */
public sealed interface SettlementResult {

    /**
     * The endpoint ran the request and still has its answer.
     *
     * @param status The HTTP status of the answer.
     * @param contentType The content type of the answer, or an empty text.
     * @param body The body of the answer.
     */
    record Answered(int status, String contentType, Bytes body) implements SettlementResult {}

    /** The endpoint ran the request, but no longer has its answer. */
    record Ran() implements SettlementResult {}

    /** The endpoint has not seen the request so far; the request may still arrive later. */
    record NotSeen() implements SettlementResult {}

    /**
     * The endpoint did not answer the query.
     *
     * @param reason The reason, for log lines.
     */
    record Unanswered(String reason) implements SettlementResult {}
}
