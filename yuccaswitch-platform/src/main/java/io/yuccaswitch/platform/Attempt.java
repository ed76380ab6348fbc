package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.PlatformEvent;

/**
 * The result of one attempt of a call.
 *
 * @param event The event that answers the call, unless the call is repeated.
 * @param outcome The outcome.
 */
record Attempt(PlatformEvent event, Outcome outcome) {

    /**
     * Creates the result of an attempt without a usable answer.
     *
     * @param token The token of the call.
     * @param maybeApplied Whether a write may have taken effect nevertheless.
     * @param reason The reason.
     * @param outcome The outcome.
     * @return The result.
     */
    static Attempt unavailable(long token, boolean maybeApplied, String reason, Outcome outcome) {
        return new Attempt(new PlatformEvent.Unavailable(token, maybeApplied, reason), outcome);
    }
}
