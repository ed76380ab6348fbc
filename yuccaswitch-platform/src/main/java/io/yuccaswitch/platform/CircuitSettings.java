package io.yuccaswitch.platform;

import java.time.Duration;

/**
 * The settings of the circuit breaker that stops calls to a failing platform and probes whether it has recovered.
 *
 * @param failures The number of consecutive failures after which the circuit opens.
 * @param initialDelay The bound of the random delay before the first probe, which doubles with each failed probe.
 * @param maximumDelay The maximum bound of the random delay before a probe.
 * @param maximumLeaseDelay The maximum bound for a probe for a lease, which would expire during a longer delay.
 */
public record CircuitSettings(int failures, Duration initialDelay, Duration maximumDelay, Duration maximumLeaseDelay) {

    /** The default settings. */
    public static final CircuitSettings DEFAULT =
            new CircuitSettings(5, Duration.ofMillis(200), Duration.ofSeconds(5), Duration.ofSeconds(1));

    /** Checks the settings. */
    public CircuitSettings {
        if (failures < 1
                || initialDelay.isNegative()
                || maximumDelay.compareTo(initialDelay) < 0
                || maximumLeaseDelay.isNegative()) {
            throw new IllegalArgumentException(
                    "Invalid circuit settings: " + failures + ", " + initialDelay + ", " + maximumDelay);
        }
    }
}
