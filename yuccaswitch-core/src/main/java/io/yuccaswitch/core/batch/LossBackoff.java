package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Delays the attempts of an item, or of a scoring request, while endpoints end under it. Accepted work is owed, so it
 * is never held like a plain request: a sound item may lose any number of endpoints in a burst of unrelated failures.
 * The delay bounds the number of endpoints that an item that ends each of them can take in a given time.
 */
final class LossBackoff {

    /** The causes of a loss after which the endpoint may have ended. */
    private static final Set<Loss.Cause> CAUSES = Set.of(Loss.Cause.ENDPOINT_ENDED, Loss.Cause.CONNECTION_LOST);

    /** The number of losses from which attempts are delayed. A single loss is common and has no consequences. */
    private static final int DELAY_THRESHOLD = 2;

    /** The delay after the second loss, which doubles with each further one. */
    private static final Duration INITIAL_DELAY = Duration.ofMillis(250);

    /** The maximum delay. Steps wait for their last item, so it is well below the 5 s after which they are late. */
    private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(2);

    /**
     * The minimum delay before an attempt at the last endpoint of a pool. It gives other endpoints time to restart, and
     * an item whose pool keeps only one endpoint is still placed within 5 s.
     */
    private static final Duration LAST_ENDPOINT_DELAY = Duration.ofSeconds(3);

    /** The number of losses. */
    private int losses;

    /** The time of the last loss. */
    private MonotonicTime lastLossAt = MonotonicTime.ZERO;

    /**
     * Records an attempt that returned no usable answer.
     *
     * @param loss What this indicates about the endpoint.
     * @param now The current time.
     */
    void record(Loss loss, MonotonicTime now) {
        if (CAUSES.contains(loss.cause())) {
            losses++;
            lastLossAt = now;
        }
    }

    /**
     * Returns whether an endpoint may have ended during an attempt. Further attempts need separate connections, as an
     * endpoint that ended before an attempt can't be told apart on a reused one.
     *
     * @return {@code true} if there was a loss.
     */
    boolean hasLosses() {
        return losses > 0;
    }

    /**
     * Returns whether an attempt may start.
     *
     * @param now The current time.
     * @param lastEndpoint Whether at most one endpoint is left.
     * @return {@code true} unless the delay after the last loss has not passed.
     */
    boolean mayStart(MonotonicTime now, BooleanSupplier lastEndpoint) {
        if (allowsConcurrentAttempts()) {
            return true;
        }
        Duration passed = now.since(lastLossAt);
        return passed.compareTo(delay()) >= 0
                && (passed.compareTo(LAST_ENDPOINT_DELAY) >= 0 || !lastEndpoint.getAsBoolean());
    }

    /**
     * Returns whether an attempt may start while another one is in progress.
     *
     * @return {@code false} if attempts are made one at a time.
     */
    boolean allowsConcurrentAttempts() {
        return losses < DELAY_THRESHOLD;
    }

    /**
     * Returns the delay after the last loss.
     *
     * @return The delay.
     */
    private Duration delay() {
        Duration delay = INITIAL_DELAY;
        for (int loss = DELAY_THRESHOLD; loss < losses && delay.compareTo(MAXIMUM_DELAY) < 0; loss++) {
            delay = delay.multipliedBy(2);
        }
        return delay.compareTo(MAXIMUM_DELAY) < 0 ? delay : MAXIMUM_DELAY;
    }
}
