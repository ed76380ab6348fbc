package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.quarantine.Loss;

/** The outcome of one attempt to have an output scored. */
public sealed interface ScoringOutcome {

    /**
     * The endpoint answered with success.
     *
     * @param score The score, which is the signature of the endpoint's answer.
     */
    record Scored(String score) implements ScoringOutcome {}

    /** The endpoint ran the request and failed, which counts towards the attempts of the route. */
    record Failed() implements ScoringOutcome {}

    /**
     * The endpoint did not run the request.
     *
     * @param reason The reason, for logs.
     */
    record Refused(String reason) implements ScoringOutcome {}

    /**
     * There is no usable answer, and the request may have run.
     *
     * @param reason The reason, for logs.
     * @param loss What the loss of the answer indicates about the endpoint.
     */
    record Interrupted(String reason, Loss loss) implements ScoringOutcome {

        /**
         * Creates an outcome of an endpoint that is still running.
         *
         * @param reason The reason, for logs.
         */
        public Interrupted(String reason) {
            this(reason, Loss.UNUSABLE);
        }
    }
}
