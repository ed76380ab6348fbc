package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * The settings of membership and failure detection.
 *
 * @param exchangeInterval The interval at which a node exchanges membership updates with another one.
 * @param suspicionTime The time after which a suspected node that does not refute the suspicion is considered dead.
 * @param platformListInterval The interval at which the list of VMs is read from the platform.
 */
public record MembershipSettings(
        @Setting(
                        description = "The interval at which a node exchanges membership updates with another one.",
                        defaultValue = "250ms",
                        minimum = "20ms",
                        maximum = "1m")
                Duration exchangeInterval,
        @Setting(
                        description =
                                "The time after which a suspected node that does not refute the suspicion is considered dead.",
                        defaultValue = "3s",
                        minimum = "100ms",
                        maximum = "5m")
                Duration suspicionTime,
        @Setting(
                        description = "The interval at which the list of VMs is read from the platform.",
                        defaultValue = "2s",
                        minimum = "100ms",
                        maximum = "10m")
                Duration platformListInterval) {}
