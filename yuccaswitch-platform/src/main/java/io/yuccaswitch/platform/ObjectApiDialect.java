package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.util.Optional;
import okhttp3.Request;

/**
 * Encodes the calls to an object API and decodes its answers. A dialect only translates: rate limits, retries, the
 * circuit and the interpretation of statuses belong to the client.
 */
public interface ObjectApiDialect {

    /**
     * Builds the request of a call.
     *
     * @param effect The call.
     * @param probe Whether the call is a probe. A watch that is a probe must not wait.
     * @return The request.
     */
    Request request(PlatformEffect effect, boolean probe);

    /**
     * Decodes an answer whose status reports that the call was executed, that an object does not exist, that a
     * condition was not met, or that the history for a watch is no longer available.
     *
     * @param effect The call.
     * @param answer The answer.
     * @return The event that answers the call.
     * @throws IOException If the answer cannot be decoded.
     */
    PlatformEvent event(PlatformEffect effect, Answer answer) throws IOException;

    /**
     * Returns whether a status guarantees that a write or deletion did not and will not take effect.
     *
     * @param status The status of a failed call.
     * @return {@code true} if the status guarantees this.
     */
    boolean guaranteesNotApplied(int status);

    /**
     * A complete answer.
     *
     * @param status The HTTP status.
     * @param version The value of the header with an object's version, if present.
     * @param body The body.
     */
    record Answer(int status, Optional<String> version, Bytes body) {}
}
