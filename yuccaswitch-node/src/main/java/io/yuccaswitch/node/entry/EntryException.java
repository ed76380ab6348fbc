package io.yuccaswitch.node.entry;

import java.time.Duration;
import java.util.Optional;

/** A request of a caller that is refused before it reaches the decision core, such that it surely did not run. */
final class EntryException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** The HTTP status of the answer. */
    private final int status;

    /** The code of the refusal. */
    private final String code;

    /** The time after which it is worth to ask again, or {@code null} if it never is. */
    private final Duration retryAfter;

    /**
     * Creates a refusal that holds for as long as the request is the same.
     *
     * @param status The HTTP status of the answer.
     * @param code The code of the refusal.
     * @param message The explanation for the caller.
     */
    EntryException(int status, String code, String message) {
        super(message);
        this.status = status;
        this.code = code;
        retryAfter = null;
    }

    /**
     * Creates a refusal that may not hold later.
     *
     * @param status The HTTP status of the answer.
     * @param code The code of the refusal.
     * @param message The explanation for the caller.
     * @param retryAfter The time after which it is worth to ask again.
     */
    EntryException(int status, String code, String message, Duration retryAfter) {
        super(message);
        this.status = status;
        this.code = code;
        this.retryAfter = retryAfter;
    }

    /**
     * Returns the HTTP status of the answer.
     *
     * @return The HTTP status of the answer.
     */
    int status() {
        return status;
    }

    /**
     * Returns the code of the refusal.
     *
     * @return The code of the refusal.
     */
    String code() {
        return code;
    }

    /**
     * Returns the time after which it is worth to ask again.
     *
     * @return The time, or empty if it never is.
     */
    Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }
}
