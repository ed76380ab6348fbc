package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * The settings of leases.
 *
 * @param duration The time for which a lease is valid after it is acquired or renewed.
 * @param safetyMargin The time before the end of a lease at which its holder stops using it.
 */
public record LeaseSettings(
        @Setting(
                        description = "The time for which a lease is valid after it is acquired or renewed.",
                        defaultValue = "10s",
                        minimum = "500ms",
                        maximum = "10m")
                Duration duration,
        @Setting(
                        description = "The time before the end of a lease at which its holder stops using it.",
                        defaultValue = "2s",
                        minimum = "50ms",
                        maximum = "1m")
                Duration safetyMargin) {}
