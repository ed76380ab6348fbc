package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/**
 * An {@link Outcome} as one flat record of plain values, the form in which outcomes are retained and sent to other
 * nodes.
 *
 * @param kind The kind of the outcome.
 * @param endpoint The endpoint that answered, or empty if none did.
 * @param status The HTTP status of the answer, or zero.
 * @param contentType The content type of the answer, or an empty text.
 * @param body The body of the answer, or an empty one.
 * @param generation The engine's generation, or empty.
 * @param code The code of the refusal or failure, or an empty text.
 * @param message The explanation for the caller, or an empty text.
 * @param retryAfter The delay after which the caller may retry, or empty if a retry is not suggested.
 */
public record RecordedOutcome(
        Kind kind,
        Optional<EndpointName> endpoint,
        int status,
        String contentType,
        Bytes body,
        Optional<Generation> generation,
        String code,
        String message,
        Optional<Duration> retryAfter) {

    /** The estimated size of a record without its body and texts, in bytes. */
    private static final int OVERHEAD_BYTES = 256;

    /**
     * Creates the record of an outcome.
     *
     * @param outcome The outcome to record.
     * @return The record.
     */
    public static RecordedOutcome of(Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered) {
            return new RecordedOutcome(
                    Kind.ANSWERED,
                    Optional.of(answered.endpoint()),
                    answered.status(),
                    answered.contentType(),
                    answered.body(),
                    answered.generation(),
                    "",
                    "",
                    Optional.empty());
        }
        if (outcome instanceof Outcome.NotRun refusal) {
            return failure(Kind.NOT_RUN, refusal.code(), refusal.message(), refusal.retryAfter());
        }
        if (outcome instanceof Outcome.FailedAfterSend failed) {
            return failure(Kind.FAILED_AFTER_SEND, failed.code(), failed.message(), Optional.empty());
        }
        Outcome.Unknown unknown = (Outcome.Unknown) outcome;
        return failure(Kind.UNKNOWN, unknown.code(), unknown.message(), Optional.empty());
    }

    /**
     * Creates a record without an answer.
     *
     * @param kind The kind of the outcome.
     * @param code The code.
     * @param message The explanation for the caller.
     * @param retryAfter The delay after which the caller may retry, or empty if a retry is not suggested.
     * @return The record.
     */
    private static RecordedOutcome failure(Kind kind, String code, String message, Optional<Duration> retryAfter) {
        return new RecordedOutcome(
                kind, Optional.empty(), 0, "", Bytes.EMPTY, Optional.empty(), code, message, retryAfter);
    }

    /**
     * Returns the recorded outcome. A record of an answer without an endpoint is treated as unknown, because
     * {@link #of(Outcome)} never creates one.
     *
     * @return The outcome.
     */
    public Outcome outcome() {
        if (kind == Kind.ANSWERED && endpoint.isPresent()) {
            return new Outcome.Answered(endpoint.get(), status, contentType, body, generation);
        }
        if (kind == Kind.NOT_RUN) {
            return new Outcome.NotRun(code, message, retryAfter);
        }
        if (kind == Kind.FAILED_AFTER_SEND) {
            return new Outcome.FailedAfterSend(code, message);
        }
        return new Outcome.Unknown(code, message);
    }

    /**
     * Estimates the size of this record in memory.
     *
     * @return The number of bytes.
     */
    public int estimatedBytes() {
        return OVERHEAD_BYTES
                + body.size()
                + message.length()
                + generation.map(value -> value.text().length()).orElse(0);
    }

    /** The kind of an outcome. */
    public enum Kind {
        /** An endpoint returned a complete answer. */
        ANSWERED,
        /** The request is known not to have run. */
        NOT_RUN,
        /** The request was sent and failed. */
        FAILED_AFTER_SEND,
        /** The outcome could not be determined. */
        UNKNOWN
    }
}
