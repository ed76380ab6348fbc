package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/** The outcome of a request. */
public sealed interface Outcome {

    /**
     * An endpoint returned a complete answer.
     *
     * @param endpoint The endpoint that answered.
     * @param status The HTTP status of the answer.
     * @param contentType The content type of the answer, or an empty text.
     * @param body The complete body of the answer, or an empty one if it was streamed to the caller.
     * @param generation The engine's generation, or empty if the endpoint is not an engine.
     */
    record Answered(EndpointName endpoint, int status, String contentType, Bytes body, Optional<Generation> generation)
            implements Outcome {}

    /**
     * The request was refused and is known not to have run.
     *
     * @param code The code of the refusal.
     * @param message The explanation for the caller.
     * @param retryAfter The delay after which the caller may retry, or empty if a retry is not suggested.
     */
    record NotRun(String code, String message, Optional<Duration> retryAfter) implements Outcome {}

    /**
     * The request was sent to an endpoint and failed; it may have run.
     *
     * @param code The code of the failure.
     * @param message The explanation for the caller.
     */
    record FailedAfterSend(String code, String message) implements Outcome {}

    /**
     * This node can't determine the outcome of the request.
     *
     * @param code The code of the reason.
     * @param message The explanation for the caller.
     */
    record Unknown(String code, String message) implements Outcome {}
}
