package io.yuccaswitch.node.trainer;

import java.time.Duration;
import java.util.Optional;

/** Refuses a trainer's request. */
final class TrainerException extends RuntimeException {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1;

    /** The status that a request gets that can't be understood. */
    private static final int BAD_REQUEST = 400;

    /** The HTTP status. */
    private final int status;

    /** The code of the reason. */
    private final String code;

    /** Whether anything took effect. */
    private final String ran;

    /** The time after which it is worth to ask again in milliseconds, or zero if it never is. */
    private final long retryAfterMillis;

    /**
     * Creates a new refusal.
     *
     * @param status The HTTP status.
     * @param code The code of the reason.
     * @param message The explanation.
     * @param ran Whether anything took effect: {@code no} or {@code unknown}.
     * @param retryAfter The time after which it is worth to ask again, or empty if it never is.
     */
    TrainerException(int status, String code, String message, String ran, Optional<Duration> retryAfter) {
        super(message);
        this.status = status;
        this.code = code;
        this.ran = ran;
        retryAfterMillis = retryAfter.map(Duration::toMillis).orElse(0L);
    }

    /**
     * Creates the refusal of a request that can't be understood.
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
     * Returns the time after which it is worth to ask again.
     *
     * @return The time in milliseconds, or empty if it never is.
     */
    Optional<Long> retryAfterMillis() {
        return retryAfterMillis > 0 ? Optional.of(retryAfterMillis) : Optional.empty();
    }

    /**
     * Returns the error as it is answered.
     *
     * @return The error.
     */
    TrainerDocuments.ErrorDocument document() {
        return new TrainerDocuments.ErrorDocument(code, getMessage(), ran, retryAfterMillis());
    }
}
