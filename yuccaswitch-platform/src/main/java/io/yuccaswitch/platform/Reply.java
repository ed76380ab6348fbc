package io.yuccaswitch.platform;

import io.yuccaswitch.core.value.Bytes;
import java.util.Optional;

/** The result of an HTTP call. */
sealed interface Reply {

    /**
     * A complete answer was received.
     *
     * @param status The HTTP status.
     * @param version The value of the header with an object's version, if present.
     * @param body The body.
     */
    record Answered(int status, Optional<String> version, Bytes body) implements Reply {}

    /** An answer was received only in part, as it exceeds the maximum size. */
    record Oversized() implements Reply {}

    /**
     * No complete answer was received.
     *
     * @param reason The reason, for logs.
     * @param sent {@code false} if no byte of the call was sent for certain.
     * @param cancelled Whether this client cancelled the call, which is not a failure of the platform.
     */
    record Failed(String reason, boolean sent, boolean cancelled) implements Reply {}
}
