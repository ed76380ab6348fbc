package io.yuccaswitch.core.request;

import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.value.Bytes;
import java.util.Optional;

/** How an attempt at an endpoint ended. */
public sealed interface AttemptResult {

    /**
     * The endpoint returned a complete answer: its end was received and it carried the request's identifier.
     *
     * @param status The HTTP status of the answer.
     * @param contentType The content type of the answer, or an empty text.
     * @param body The complete body.
     * @param generation The engine's generation, or empty if the endpoint is not an engine.
     */
    record Complete(int status, String contentType, Bytes body, Optional<Generation> generation)
            implements AttemptResult {}

    /**
     * The request is known not to have run: no byte was sent to the endpoint, or the endpoint refused the request.
     *
     * @param code The code of the reason.
     * @param leaving {@code true} if the endpoint refused because it is leaving.
     */
    record NotRun(String code, boolean leaving) implements AttemptResult {}

    /**
     * The attempt failed after bytes were sent to the endpoint.
     *
     * @param code The code of the reason.
     * @param partial The engine's generation before the failure, or empty if none was received or it is unusable.
     * @param loss What the loss of the answer indicates about the endpoint.
     */
    record MaybeRun(String code, Optional<Generation> partial, Loss loss) implements AttemptResult {

        /**
         * Creates the result of an attempt whose failure indicates nothing about the endpoint.
         *
         * @param code The code of the reason.
         * @param partial The engine's generation before the failure, or empty.
         */
        public MaybeRun(String code, Optional<Generation> partial) {
            this(code, partial, Loss.UNUSABLE);
        }
    }
}
