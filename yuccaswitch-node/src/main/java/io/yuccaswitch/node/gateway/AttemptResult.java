package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.value.Bytes;
import okhttp3.Headers;

/** The result of one attempt to have a plain request answered by an endpoint. */
sealed interface AttemptResult {

    /**
     * The endpoint answered completely.
     *
     * @param status The status.
     * @param headers The headers.
     * @param body The body.
     */
    record Complete(int status, Headers headers, Bytes body) implements AttemptResult {}

    /**
     * The answer was a stream, which was forwarded to its end or aborted because the caller disconnected.
     *
     * @param complete Whether the stream was forwarded to its end.
     */
    record Relayed(boolean complete) implements AttemptResult {}

    /**
     * The request definitely did not run.
     *
     * @param cause Why it did not run.
     * @param reason The reason, for logs.
     */
    record NotRun(NotRunCause cause, String reason) implements AttemptResult {}

    /**
     * The request may have run, and there is no answer that can be forwarded.
     *
     * @param loss The state of the endpoint that follows from the loss of the answer.
     * @param reason The reason, for logs.
     */
    record MayHaveRun(Loss loss, String reason) implements AttemptResult {}

    /** Why a request was not run. */
    enum NotRunCause {
        /** The endpoint rejected it. */
        REFUSED,
        /** It could not be sent, or reached another endpoint than the one that was addressed. */
        UNDELIVERED,
        /** Nothing listens at the endpoint's address. */
        UNREACHABLE,
        /** Since the endpoint was chosen, it has left or its state has become stale. */
        WITHHELD
    }
}
