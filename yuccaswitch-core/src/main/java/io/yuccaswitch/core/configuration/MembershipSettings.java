package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * How nodes keep track of each other.
 *
 * @param exchangeInterval The interval at which a node exchanges news with another one.
 * @param suspicionTime The time after which a suspected node that does not object counts as dead.
 * @param platformListInterval The interval at which the list of VMs is read from the platform.
 */
public record MembershipSettings(
        @Setting(
                        description = "The interval at which a node exchanges news with another one.",
                        defaultValue = "250ms",
                        minimum = "20ms",
                        maximum = "1m")
                Duration exchangeInterval,
        @Setting(
                        description = "The time after which a suspected node that does not object counts as dead.",
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
