package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.quarantine.Loss;

/** The outcome of one attempt to run an item at an engine. */
public sealed interface AttemptOutcome {

    /** The output is complete. */
    record Completed() implements AttemptOutcome {}

    /**
     * The attempt was interrupted, and another one may resume after its events.
     *
     * @param reason The reason, for logs.
     * @param unreachable Whether the connection to the engine could not be established.
     * @param loss What the loss of the answer indicates about the engine.
     */
    record Interrupted(String reason, boolean unreachable, Loss loss) implements AttemptOutcome {

        /**
         * Creates an outcome that indicates nothing about the state of the engine.
         *
         * @param reason The reason, for logs.
         * @param unreachable Whether the connection to the engine could not be established.
         */
        public Interrupted(String reason, boolean unreachable) {
            this(reason, unreachable, Loss.UNUSABLE);
        }
    }

    /**
     * The engine reported that it did not run the item.
     *
     * @param reason The reason, for logs.
     */
    record Refused(String reason) implements AttemptOutcome {}

    /**
     * The item was not sent, because the engine has left or its state has become stale in the meantime.
     *
     * @param reason The reason, for logs.
     */
    record Withheld(String reason) implements AttemptOutcome {}

    /** The engine failed while it ran the item, which counts towards the attempts of the route. */
    record Failed() implements AttemptOutcome {}

    /**
     * The item can never be completed.
     *
     * @param reason The reason, for logs.
     */
    record Impossible(String reason) implements AttemptOutcome {}
}
