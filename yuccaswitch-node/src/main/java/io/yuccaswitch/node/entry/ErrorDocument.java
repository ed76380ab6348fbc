package io.yuccaswitch.node.entry;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.time.Duration;
import java.util.Optional;

/**
 * The body of an error answer.
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
     * @param retryAfter The time after which a retry may succeed, or empty.
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
     * @param retryAfterMillis The time after which a retry may succeed, or {@code null}.
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Detail(String code, String message, String ran, Long retryAfterMillis) {}

    /** Whether a request ran. */
    enum Ran {
        /** The request definitely did not run. */
        NO,
        /** The request definitely ran. */
        YES,
        /** The request may have run. */
        UNKNOWN;

        /**
         * Returns the value as it is written in documents.
         *
         * @return The value in lower case.
         */
        String text() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }
}
