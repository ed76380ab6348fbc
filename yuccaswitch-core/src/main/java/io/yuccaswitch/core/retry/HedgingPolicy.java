package io.yuccaswitch.core.retry;

import io.yuccaswitch.core.configuration.RetrySettings;
import io.yuccaswitch.core.request.Request;
import java.time.Duration;

/** Decides whether a request is sent to a second endpoint while the first attempt is still running. */
public interface HedgingPolicy {

    /**
     * Returns whether a second attempt is due.
     *
     * @param request The request.
     * @param running The time since the first attempt was sent.
     * @return {@code true} if a second attempt is due.
     */
    boolean due(Request request, Duration running);

    /**
     * Creates the policy of a pool.
     *
     * @param settings The settings of the pool.
     * @return The policy.
     */
    static HedgingPolicy of(RetrySettings settings) {
        return settings.hedgeAfter().<HedgingPolicy>map(AfterDelay::new).orElseGet(Never::new);
    }

    /** Never sends a second attempt. */
    record Never() implements HedgingPolicy {

        /** {@inheritDoc} */
        @Override
        public boolean due(Request request, Duration running) {
            return false;
        }
    }

    /**
     * Sends a second attempt after a delay. Requests that are not idempotent are never hedged, and neither are streams,
     * as their text must come from one attempt.
     *
     * @param delay The delay.
     */
    record AfterDelay(Duration delay) implements HedgingPolicy {

        /** {@inheritDoc} */
        @Override
        public boolean due(Request request, Duration running) {
            return request.idempotent() && !request.streaming() && running.compareTo(delay) >= 0;
        }
    }
}
