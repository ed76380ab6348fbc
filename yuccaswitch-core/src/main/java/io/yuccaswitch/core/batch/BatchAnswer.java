package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.List;

/** The answers to calls about batch jobs. */
public sealed interface BatchAnswer {

    /** The job is accepted: from now on it is kept and run. */
    record Accepted() implements BatchAnswer {}

    /**
     * The call surely had no effect: nothing of the job runs because of it, or it did not end the job.
     *
     * @param reason The reason, for logs.
     * @param retryAfter When the caller should retry.
     */
    record NotAccepted(String reason, Duration retryAfter) implements BatchAnswer {

        /** When callers should retry after the platform gave no usable answer: about as long as a short outage. */
        private static final Duration OUTAGE_RETRY_AFTER = Duration.ofMillis(400);

        /**
         * Creates an answer to a call that the platform's state or silence prevented.
         *
         * @param reason The reason, for logs.
         */
        NotAccepted(String reason) {
            this(reason, OUTAGE_RETRY_AFTER);
        }
    }

    /**
     * Whether the call took effect is not known; the caller has to ask again.
     *
     * @param reason The reason, for logs.
     */
    record Unsure(String reason) implements BatchAnswer {}

    /** The identifier belongs to a job that asks for other work. */
    record Mismatch() implements BatchAnswer {}

    /** There is no such job or item. */
    record Unknown() implements BatchAnswer {}

    /**
     * Results of a job.
     *
     * @param total The number of items of the job.
     * @param next The position behind the results.
     * @param results The results, in the order of their positions.
     */
    record Results(int total, int next, List<BatchResult> results) implements BatchAnswer {}

    /**
     * The body of an item.
     *
     * @param body The body.
     */
    record Body(Bytes body) implements BatchAnswer {}

    /** The job is ended. */
    record Ended() implements BatchAnswer {}
}
