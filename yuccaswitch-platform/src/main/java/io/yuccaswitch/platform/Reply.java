package io.yuccaswitch.platform;

import io.yuccaswitch.core.value.Bytes;
import java.util.Optional;

/** What became of an HTTP call. */
sealed interface Reply {

    /**
     * The whole answer arrived.
     *
     * @param status The HTTP status.
     * @param version The text of the header that bears an object's version, if there is one.
     * @param body The body.
     */
    record Answered(int status, Optional<String> version, Bytes body) implements Reply {}

    /**
     * No whole answer arrived.
     *
     * @param reason The reason, for logs.
     * @param sent {@code false} if it is sure that nothing of the call was sent.
     * @param abandoned Whether this client broke the call off, which says nothing of the platform.
     */
    record Failed(String reason, boolean sent, boolean abandoned) implements Reply {}
}
