package io.yuccaswitch.platform;

import java.time.Duration;

/**
 * When a client stops calling a platform that fails, and how it finds out that the platform is back.
 *
 * @param failures The number of failures in a row after which the circuit opens.
 * @param firstWait The bound of the random wait before the first probe.
 * @param maximumWait The largest bound of the random wait before a probe, which doubles with each failed probe.
 * @param maximumLeaseWait The largest bound if the probe is made for a lease, which would lapse otherwise.
 */
public record CircuitSettings(int failures, Duration firstWait, Duration maximumWait, Duration maximumLeaseWait) {

    /** The default settings. */
    public static final CircuitSettings DEFAULT =
            new CircuitSettings(5, Duration.ofMillis(200), Duration.ofSeconds(5), Duration.ofSeconds(1));

    /** Checks the settings. */
    public CircuitSettings {
        if (failures < 1
                || firstWait.isNegative()
                || maximumWait.compareTo(firstWait) < 0
                || maximumLeaseWait.isNegative()) {
            throw new IllegalArgumentException(
                    "Not settings of a circuit: " + failures + ", " + firstWait + ", " + maximumWait);
        }
    }
}
