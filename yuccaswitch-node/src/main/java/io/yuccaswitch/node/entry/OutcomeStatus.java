package io.yuccaswitch.node.entry;

import io.yuccaswitch.core.request.Outcome;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * How an outcome without an answer is told over HTTP.
 *
 * @param status The HTTP status.
 * @param code The code.
 * @param message The explanation.
 * @param ran Whether the request ran.
 * @param retryAfter The time after which it is worth to ask again, or empty.
 */
record OutcomeStatus(int status, String code, String message, ErrorDocument.Ran ran, Optional<Duration> retryAfter) {

    /** The status of refusals that say nothing else. */
    private static final int UNAVAILABLE = 503;

    /** The status of requests that were sent and failed, and of unknown ones. */
    private static final int BAD_GATEWAY = 502;

    /** The status of requests whose deadline passed. */
    private static final int GATEWAY_TIMEOUT = 504;

    /** The code of requests whose deadline passed. */
    private static final String DEADLINE_EXCEEDED = "deadline-exceeded";

    /** The code of requests that an endpoint says it ran. */
    private static final String RAN_ANSWER_LOST = "ran-answer-lost";

    /** The statuses of refusals whose cause is the request. */
    private static final Map<String, Integer> REFUSALS =
            Map.of("unknown-pool", 404, "request-id-reused", 409, "request-id-ahead", 400, DEADLINE_EXCEEDED, 504);

    /**
     * Describes an outcome.
     *
     * @param outcome The outcome, which is not an answer.
     * @return The description.
     */
    static OutcomeStatus of(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun refusal) {
            return new OutcomeStatus(
                    REFUSALS.getOrDefault(refusal.code(), UNAVAILABLE),
                    refusal.code(),
                    refusal.message(),
                    ErrorDocument.Ran.NO,
                    refusal.retryAfter());
        }
        if (outcome instanceof Outcome.FailedAfterSend failed) {
            return new OutcomeStatus(
                    failed.code().equals(DEADLINE_EXCEEDED) ? GATEWAY_TIMEOUT : BAD_GATEWAY,
                    failed.code(),
                    failed.message(),
                    failed.code().equals(RAN_ANSWER_LOST) ? ErrorDocument.Ran.YES : ErrorDocument.Ran.UNKNOWN,
                    Optional.empty());
        }
        if (outcome instanceof Outcome.Unknown unknown) {
            return new OutcomeStatus(
                    BAD_GATEWAY, unknown.code(), unknown.message(), ErrorDocument.Ran.UNKNOWN, Optional.empty());
        }
        throw new IllegalArgumentException("An answer has a status of its own");
    }
}
