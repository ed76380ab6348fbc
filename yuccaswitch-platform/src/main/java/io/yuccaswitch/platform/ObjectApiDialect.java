package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.util.Optional;
import okhttp3.Request;

/**
 * How calls are written to an object API and how its answers read. A dialect translates and decides nothing: rates,
 * retries, the circuit and what a status means are the client's matter.
 */
public interface ObjectApiDialect {

    /**
     * Builds the request of a call.
     *
     * @param effect The call.
     * @param probe Whether the call is a probe, such that a watch must not wait.
     * @return The request.
     */
    Request request(PlatformEffect effect, boolean probe);

    /**
     * Reads an answer whose status says that the call was carried out, that an object does not exist, that a condition
     * was not met, or that the history of a watch is gone.
     *
     * @param effect The call.
     * @param answer The answer.
     * @return The event that answers the call.
     * @throws IOException If the answer can't be read.
     */
    PlatformEvent event(PlatformEffect effect, Answer answer) throws IOException;

    /**
     * Returns whether a status promises that a change was not and will not be made.
     *
     * @param status A status of a failure.
     * @return {@code true} if it does.
     */
    boolean promisesUnapplied(int status);

    /**
     * A whole answer.
     *
     * @param status The HTTP status.
     * @param version The text of the header that bears an object's version, if there is one.
     * @param body The body.
     */
    record Answer(int status, Optional<String> version, Bytes body) {}
}
