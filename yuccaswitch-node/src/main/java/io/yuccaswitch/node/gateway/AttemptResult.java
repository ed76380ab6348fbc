package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.value.Bytes;
import okhttp3.Headers;

/** What became of one attempt to have a plain request answered by an endpoint. */
sealed interface AttemptResult {

    /**
     * The endpoint answered, and the answer is whole.
     *
     * @param status The status.
     * @param headers The headers.
     * @param body The body.
     */
    record Whole(int status, Headers headers, Bytes body) implements AttemptResult {}

    /**
     * The answer was a stream, which was passed on to its end or broken off for good.
     *
     * @param whole Whether it was passed on to its end.
     */
    record Relayed(boolean whole) implements AttemptResult {}

    /**
     * The request was surely not run.
     *
     * @param cause Why not.
     * @param reason The reason, for logs.
     */
    record NotRun(NotRunCause cause, String reason) implements AttemptResult {}

    /**
     * The request may have run, and there is no answer that can be passed on.
     *
     * @param loss What the loss of the answer says of the endpoint.
     * @param reason The reason, for logs.
     */
    record MayHaveRun(Loss loss, String reason) implements AttemptResult {}

    /** Why a request was not run. */
    enum NotRunCause {
        /** The endpoint refused it, or it could not be sent. */
        REFUSED,
        /** Nothing listens at the endpoint's address. */
        UNREACHABLE,
        /** The endpoint has left, or what is known of it has grown too old, since it was chosen. */
        WITHHELD
    }
}
