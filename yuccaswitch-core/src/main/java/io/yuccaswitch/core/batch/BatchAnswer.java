package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.List;

/** The answers to calls about batch jobs. */
public sealed interface BatchAnswer {

    /** The job is accepted: it is stored durably and will be run. */
    record Accepted() implements BatchAnswer {}

    /**
     * The call is guaranteed to have had no effect: it caused no part of the job to run, or it did not end the job.
     *
     * @param reason The reason, for logs.
     * @param retryAfter The delay after which the caller should retry.
     */
    record NotAccepted(String reason, Duration retryAfter) implements BatchAnswer {

        /** The retry delay after the platform gave no usable answer: about the length of a short outage. */
        private static final Duration OUTAGE_RETRY_AFTER = Duration.ofMillis(400);

        /**
         * Creates an answer to a call that failed because of the platform's state or because the platform did not
         * answer.
         *
         * @param reason The reason, for logs.
         */
        NotAccepted(String reason) {
            this(reason, OUTAGE_RETRY_AFTER);
        }
    }

    /**
     * It is unknown whether the call took effect; the caller has to retry.
     *
     * @param reason The reason, for logs.
     */
    record Unsure(String reason) implements BatchAnswer {}

    /** The identifier belongs to a job with different content. */
    record Mismatch() implements BatchAnswer {}

    /** There is no such job or item. */
    record Unknown() implements BatchAnswer {}

    /**
     * Results of a job.
     *
     * @param total The number of items of the job.
     * @param next The position after the results.
     * @param results The results, in the order of their positions.
     */
    record Results(int total, int next, List<BatchResult> results) implements BatchAnswer {}

    /**
     * The body of an item.
     *
     * @param body The body.
     */
    record Body(Bytes body) implements BatchAnswer {}

    /** The job has been ended. */
    record Ended() implements BatchAnswer {}
}
