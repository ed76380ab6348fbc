package io.yuccaswitch.node.entry;

import io.yuccaswitch.core.request.Outcome;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * The HTTP representation of an outcome without an answer.
 *
 * @param status The HTTP status.
 * @param code The code.
 * @param message The explanation.
 * @param ran Whether the request ran.
 * @param retryAfter The time after which a retry may succeed, or empty.
 */
record OutcomeStatus(int status, String code, String message, ErrorDocument.Ran ran, Optional<Duration> retryAfter) {

    /** The status of refusals whose code has no specific status. */
    private static final int UNAVAILABLE = 503;

    /** The status of requests that failed after they were sent, and of requests with an unknown outcome. */
    private static final int BAD_GATEWAY = 502;

    /** The status of requests whose deadline has passed. */
    private static final int GATEWAY_TIMEOUT = 504;

    /** The code of requests whose deadline has passed. */
    private static final String DEADLINE_EXCEEDED = "deadline-exceeded";

    /** The code of requests that ran according to the endpoint, but whose answer is lost. */
    private static final String RAN_ANSWER_LOST = "ran-answer-lost";

    /** The specific statuses of refusals by their codes. */
    private static final Map<String, Integer> STATUSES_BY_CODE =
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
                    STATUSES_BY_CODE.getOrDefault(refusal.code(), UNAVAILABLE),
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
        throw new IllegalArgumentException("An answered outcome has its own HTTP status");
    }
}
