package io.yuccaswitch.node.entry;

import io.javalin.http.Context;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.request.RequestId;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * The headers with which a caller controls the handling of its request.
 *
 * @param id The identifier that the caller gave, or empty.
 * @param idempotent Whether the request may run more than once, or empty if the caller did not specify it.
 * @param timeLeft The time until the deadline that the caller gave, or empty.
 * @param priority The priority class that the caller requests.
 */
record EntryHeaders(
        Optional<RequestId> id, Optional<Boolean> idempotent, Optional<Duration> timeLeft, PriorityClass priority) {

    /** The header that carries the identifier of a request. */
    static final String REQUEST_ID = "X-Request-Id";

    /** The header that says whether a request may run more than once. */
    private static final String IDEMPOTENT = "X-Idempotent";

    /** The header that gives the time until the deadline of a request. */
    private static final String DEADLINE = "X-Deadline-Millis";

    /** The header that requests a priority class. */
    private static final String PRIORITY = "X-Priority";

    /** The maximum time until the deadline that a caller may give. */
    private static final long MAXIMUM_DEADLINE_MILLIS = Duration.ofHours(1).toMillis();

    /** The status of a request with an invalid header. */
    private static final int BAD_REQUEST = 400;

    /**
     * Reads the headers of a request.
     *
     * @param context The request.
     * @return The headers.
     */
    static EntryHeaders of(Context context) {
        return new EntryHeaders(
                Optional.ofNullable(context.header(REQUEST_ID)).map(EntryHeaders::id),
                Optional.ofNullable(context.header(IDEMPOTENT)).map(EntryHeaders::flag),
                Optional.ofNullable(context.header(DEADLINE)).map(EntryHeaders::timeLeft),
                Optional.ofNullable(context.header(PRIORITY))
                        .map(EntryHeaders::priority)
                        .orElse(PriorityClass.NORMAL));
    }

    /**
     * Reads an identifier.
     *
     * @param value The text.
     * @return The identifier.
     */
    static RequestId id(String value) {
        try {
            return new RequestId(value);
        } catch (IllegalArgumentException _exception) {
            throw invalid(REQUEST_ID, "up to 200 printable characters without spaces");
        }
    }

    /**
     * Reads a flag.
     *
     * @param value The text.
     * @return The flag.
     */
    private static boolean flag(String value) {
        if (value.equals("true") || value.equals("false")) {
            return value.equals("true");
        }
        throw invalid(IDEMPOTENT, "true or false");
    }

    /**
     * Reads the time until a deadline.
     *
     * @param value The text.
     * @return The time.
     */
    private static Duration timeLeft(String value) {
        try {
            long millis = Long.parseLong(value);
            if (millis > 0 && millis <= MAXIMUM_DEADLINE_MILLIS) {
                return Duration.ofMillis(millis);
            }
        } catch (NumberFormatException _exception) {
            throw invalid(DEADLINE, "a number of milliseconds");
        }
        throw invalid(DEADLINE, "from 1 to " + MAXIMUM_DEADLINE_MILLIS);
    }

    /**
     * Reads a priority class.
     *
     * @param value The text.
     * @return The priority class.
     */
    private static PriorityClass priority(String value) {
        for (PriorityClass priority : PriorityClass.values()) {
            if (priority.name().toLowerCase(Locale.ROOT).equals(value)) {
                return priority;
            }
        }
        throw invalid(PRIORITY, "batch, normal or urgent");
    }

    /**
     * Creates the refusal of an invalid header.
     *
     * @param header The header.
     * @param expected The description of valid values.
     * @return The refusal.
     */
    private static EntryException invalid(String header, String expected) {
        return new EntryException(BAD_REQUEST, "invalid-header", header + " must be " + expected + ".");
    }
}
