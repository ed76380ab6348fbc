package io.yuccaswitch.core.retry;

import io.yuccaswitch.core.configuration.RetrySettings;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * The health of an endpoint, which is ejected after repeated failures. After an ejection, a single further failure
 * ejects the endpoint again, for twice the time.
 *
 * @param consecutiveFailures The number of failures since the last success.
 * @param ejections The number of ejections since the last success.
 * @param ejectedUntil The end of the ejection, or empty if the endpoint was not ejected since its last success.
 */
public record EndpointHealth(int consecutiveFailures, int ejections, Optional<MonotonicTime> ejectedUntil) {

    /** The health of an endpoint without failures. */
    public static final EndpointHealth GOOD = new EndpointHealth(0, 0, Optional.empty());

    /** The maximum number of doublings of the ejection time. */
    private static final int MAXIMUM_DOUBLINGS = 4;

    /**
     * Returns the health after a failure.
     *
     * @param settings The settings that define when endpoints are ejected, and for how long.
     * @param now The time of the failure.
     * @return The updated health.
     */
    public EndpointHealth afterFailure(RetrySettings settings, MonotonicTime now) {
        int failures = consecutiveFailures + 1;
        if (failures < settings.ejectionThreshold() || isEjected(now)) {
            return new EndpointHealth(failures, ejections, ejectedUntil);
        }
        Duration time = settings.ejectionTime().multipliedBy(1L << Math.min(MAXIMUM_DOUBLINGS, ejections));
        return new EndpointHealth(failures, ejections + 1, Optional.of(now.plus(time)));
    }

    /**
     * Returns whether the endpoint is ejected.
     *
     * @param now The current time.
     * @return {@code true} if the endpoint is ejected.
     */
    public boolean isEjected(MonotonicTime now) {
        return ejectedUntil.isPresent() && now.isBefore(ejectedUntil.get());
    }
}
