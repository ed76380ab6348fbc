package io.yuccaswitch.node.trainer;

import java.time.Duration;
import java.util.Optional;

/** The refusal of a trainer's request. */
final class TrainerException extends RuntimeException {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1;

    /** The status of an invalid request. */
    private static final int BAD_REQUEST = 400;

    /** The HTTP status. */
    private final int status;

    /** The code of the reason. */
    private final String code;

    /** Whether the request took effect: {@code no} or {@code unknown}. */
    private final String ran;

    /** The milliseconds after which a retry may succeed, or zero if a retry can't succeed. */
    private final long retryAfterMillis;

    /**
     * Creates a new refusal.
     *
     * @param status The HTTP status.
     * @param code The code of the reason.
     * @param message The explanation.
     * @param ran Whether the request took effect: {@code no} or {@code unknown}.
     * @param retryAfter The time after which a retry may succeed, or empty if a retry can't succeed.
     */
    TrainerException(int status, String code, String message, String ran, Optional<Duration> retryAfter) {
        super(message);
        this.status = status;
        this.code = code;
        this.ran = ran;
        retryAfterMillis = retryAfter.map(Duration::toMillis).orElse(0L);
    }

    /**
     * Creates the refusal of an invalid request.
     *
     * @param message The explanation.
     * @return The refusal.
     */
    static TrainerException badRequest(String message) {
        return new TrainerException(BAD_REQUEST, "bad-request", message, "no", Optional.empty());
    }

    /**
     * Returns the HTTP status.
     *
     * @return The HTTP status.
     */
    int status() {
        return status;
    }

    /**
     * Returns the time after which a retry may succeed.
     *
     * @return The time in milliseconds, or empty if a retry can't succeed.
     */
    Optional<Long> retryAfterMillis() {
        return retryAfterMillis > 0 ? Optional.of(retryAfterMillis) : Optional.empty();
    }

    /**
     * Returns the error for the body of the answer.
     *
     * @return The error.
     */
    TrainerDocuments.ErrorDocument document() {
        return new TrainerDocuments.ErrorDocument(code, getMessage(), ran, retryAfterMillis());
    }
}
