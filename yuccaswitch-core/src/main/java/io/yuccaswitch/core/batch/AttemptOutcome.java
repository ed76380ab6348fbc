package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.quarantine.Loss;

/** What became of one attempt to run an item at an engine. */
public sealed interface AttemptOutcome {

    /** The output is whole. */
    record Completed() implements AttemptOutcome {}

    /**
     * The attempt broke off, and another one may go on behind its events.
     *
     * @param reason The reason, for logs.
     * @param unreachable Whether the engine could not even be connected to.
     * @param loss What the loss of the answer says of the engine.
     */
    record Interrupted(String reason, boolean unreachable, Loss loss) implements AttemptOutcome {

        /**
         * Creates an outcome of an engine of which the end of the attempt tells nothing.
         *
         * @param reason The reason, for logs.
         * @param unreachable Whether the engine could not even be connected to.
         */
        public Interrupted(String reason, boolean unreachable) {
            this(reason, unreachable, Loss.UNUSABLE);
        }
    }

    /**
     * The engine said that it did not run the item.
     *
     * @param reason The reason, for logs.
     */
    record Refused(String reason) implements AttemptOutcome {}

    /**
     * The item was not sent, as the engine has left or what is known of it has grown too old meanwhile.
     *
     * @param reason The reason, for logs.
     */
    record Withheld(String reason) implements AttemptOutcome {}

    /** The engine failed while it ran the item, which counts as an attempt. */
    record Failed() implements AttemptOutcome {}

    /** The engine said that the item can never be done. */
    record Impossible() implements AttemptOutcome {}
}
