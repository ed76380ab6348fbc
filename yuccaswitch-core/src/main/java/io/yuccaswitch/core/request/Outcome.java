package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/** What became of a request. */
public sealed interface Outcome {

    /**
     * An endpoint gave a whole answer.
     *
     * @param endpoint The endpoint that answered.
     * @param status The HTTP status of the answer.
     * @param contentType The content type of the answer, or an empty text.
     * @param body The whole body of the answer, or an empty one if it was streamed to the caller.
     * @param generation What an engine generated, or empty if the endpoint is not an engine.
     */
    record Answered(EndpointName endpoint, int status, String contentType, Bytes body, Optional<Generation> generation)
            implements Outcome {}

    /**
     * The request was refused and surely did not run.
     *
     * @param code The code of the refusal.
     * @param message The explanation for the caller.
     * @param retryAfter The time after which it is worth to ask again, or empty if it never is.
     */
    record NotRun(String code, String message, Optional<Duration> retryAfter) implements Outcome {}

    /**
     * The request was sent to an endpoint and failed, such that it may have run.
     *
     * @param code The code of the failure.
     * @param message The explanation for the caller.
     */
    record FailedAfterSend(String code, String message) implements Outcome {}

    /**
     * This node can't tell what became of the request.
     *
     * @param code The code of the reason.
     * @param message The explanation for the caller.
     */
    record Unknown(String code, String message) implements Outcome {}
}
