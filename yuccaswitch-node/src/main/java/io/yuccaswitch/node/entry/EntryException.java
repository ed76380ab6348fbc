package io.yuccaswitch.node.entry;

import java.time.Duration;
import java.util.Optional;

/** The refusal of a caller's request before it reaches the decision core, so that this call does not run it. */
final class EntryException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** The HTTP status of the answer. */
    private final int status;

    /** The code of the refusal. */
    private final String code;

    /** The time after which a retry may succeed, or {@code null} if a retry can't succeed. */
    private final Duration retryAfter;

    /**
     * Creates a refusal of a request that can't succeed when it is retried.
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
     * Creates a refusal of a request that may succeed when it is retried later.
     *
     * @param status The HTTP status of the answer.
     * @param code The code of the refusal.
     * @param message The explanation for the caller.
     * @param retryAfter The time after which a retry may succeed.
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
     * Returns the time after which a retry may succeed.
     *
     * @return The time, or empty if a retry can't succeed.
     */
    Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }
}
