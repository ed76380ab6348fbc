package io.yuccaswitch.node.entry;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.time.Duration;
import java.util.Optional;

/**
 * The body of an answer that is an error.
 *
 * @param error The error.
 * @param requestId The identifier of the request, or an empty text if it has none.
 */
record ErrorDocument(Detail error, String requestId) {

    /**
     * Describes an error.
     *
     * @param code The code.
     * @param message The explanation.
     * @param ran Whether the request ran.
     * @param retryAfter The time after which it is worth to ask again, or empty.
     * @param requestId The identifier of the request, or an empty text.
     * @return The document.
     */
    static ErrorDocument of(String code, String message, Ran ran, Optional<Duration> retryAfter, String requestId) {
        Long millis = retryAfter.map(Duration::toMillis).orElse(null);
        return new ErrorDocument(new Detail(code, message, ran.text(), millis), requestId);
    }

    /**
     * An error.
     *
     * @param code The code.
     * @param message The explanation.
     * @param ran {@code no}, {@code yes} or {@code unknown}.
     * @param retryAfterMillis The time after which it is worth to ask again, or {@code null}.
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Detail(String code, String message, String ran, Long retryAfterMillis) {}

    /** Whether a request ran. */
    enum Ran {
        /** The request surely did not run. */
        NO,
        /** The request surely ran. */
        YES,
        /** The request may have run. */
        UNKNOWN;

        /**
         * Returns the value as documents bear it.
         *
         * @return The value in lower case.
         */
        String text() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }
}
