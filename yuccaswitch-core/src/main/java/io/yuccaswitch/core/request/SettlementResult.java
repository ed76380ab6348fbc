package io.yuccaswitch.core.request;

import io.yuccaswitch.core.value.Bytes;

/** What an endpoint says of a request that it may have run. */
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

    /** The endpoint has not seen the request so far, which does not rule out that it arrives later. */
    record NotSeen() implements SettlementResult {}

    /**
     * The endpoint did not say.
     *
     * @param reason The reason, for logs.
     */
    record Unanswered(String reason) implements SettlementResult {}
}
