package io.yuccaswitch.core.request;

import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.value.Bytes;
import java.util.Optional;

/** How an attempt at an endpoint ended. */
public sealed interface AttemptResult {

    /**
     * The endpoint gave a whole answer: its end was seen and it named the request's identifier.
     *
     * @param status The HTTP status of the answer.
     * @param contentType The content type of the answer, or an empty text.
     * @param body The whole body.
     * @param generation What an engine generated, or empty if the endpoint is not an engine.
     */
    record Whole(int status, String contentType, Bytes body, Optional<Generation> generation)
            implements AttemptResult {}

    /**
     * Surely nothing ran: no byte left for the endpoint, or the endpoint itself refused the request.
     *
     * @param code The code of the reason.
     * @param leaving {@code true} if the endpoint refused because it is leaving.
     */
    record NotRun(String code, boolean leaving) implements AttemptResult {}

    /**
     * The attempt failed after bytes had left for the endpoint.
     *
     * @param code The code of the reason.
     * @param partial What an engine had generated before, or empty if nothing was received or it can't be used.
     * @param loss What the loss of the answer says of the endpoint.
     */
    record MaybeRun(String code, Optional<Generation> partial, Loss loss) implements AttemptResult {

        /**
         * Creates the result of an attempt that tells nothing of the endpoint.
         *
         * @param code The code of the reason.
         * @param partial What an engine had generated before, or empty.
         */
        public MaybeRun(String code, Optional<Generation> partial) {
            this(code, partial, Loss.UNUSABLE);
        }
    }
}
