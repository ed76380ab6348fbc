package io.yuccaswitch.core.retry;

import io.yuccaswitch.core.configuration.RetrySettings;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * Whether an endpoint is ejected for its failures. When an ejection is over, a single further failure ejects the
 * endpoint again, for twice the time.
 *
 * @param failuresInRow The number of failures since the last success.
 * @param ejections The number of ejections since the last success.
 * @param ejectedUntil The time at which the ejection is over, or empty if the endpoint was not ejected since its last
 *     success.
 */
public record EndpointHealth(int failuresInRow, int ejections, Optional<MonotonicTime> ejectedUntil) {

    /** The health of an endpoint that did not fail. */
    public static final EndpointHealth GOOD = new EndpointHealth(0, 0, Optional.empty());

    /** The largest number of doublings of the time of an ejection. */
    private static final int MAXIMUM_DOUBLINGS = 4;

    /**
     * Returns the health after a failure.
     *
     * @param settings When endpoints are ejected.
     * @param now The time of the failure.
     * @return The changed health.
     */
    public EndpointHealth afterFailure(RetrySettings settings, MonotonicTime now) {
        int failures = failuresInRow + 1;
        if (failures < settings.ejectionThreshold() || ejected(now)) {
            return new EndpointHealth(failures, ejections, ejectedUntil);
        }
        Duration time = settings.ejectionTime().multipliedBy(1L << Math.min(MAXIMUM_DOUBLINGS, ejections));
        return new EndpointHealth(failures, ejections + 1, Optional.of(now.plus(time)));
    }

    /**
     * Returns whether the endpoint is ejected.
     *
     * @param now The time.
     * @return {@code true} if the endpoint is ejected.
     */
    public boolean ejected(MonotonicTime now) {
        return ejectedUntil.isPresent() && now.isBefore(ejectedUntil.get());
    }
}
