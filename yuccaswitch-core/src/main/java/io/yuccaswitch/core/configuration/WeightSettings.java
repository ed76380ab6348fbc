package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * The rollout of weights to the endpoints of a pool.
 *
 * @param servingFloor The minimum share of the endpoints that keep serving while others load weights.
 * @param orderTimeout The time after which an order to an endpoint times out.
 * @param readBackInterval The interval at which the loaded versions of the endpoints are read back.
 * @param retryBackoff The backoff after a failed load of an endpoint, which doubles with each further failure.
 */
public record WeightSettings(
        @Setting(
                        description = "The minimum share of the endpoints that keep serving while others load weights.",
                        defaultValue = "0.5",
                        minimum = "0",
                        maximum = "1")
                double servingFloor,
        @Setting(
                        description = "The time after which an order to an endpoint times out.",
                        defaultValue = "10s",
                        minimum = "100ms",
                        maximum = "10m")
                Duration orderTimeout,
        @Setting(
                        description = "The interval at which the loaded versions of the endpoints are read back.",
                        defaultValue = "2s",
                        minimum = "50ms",
                        maximum = "5m")
                Duration readBackInterval,
        @Setting(
                        description =
                                "The backoff after a failed load of an endpoint, which doubles with each further failure.",
                        defaultValue = "1s",
                        minimum = "50ms",
                        maximum = "5m")
                Duration retryBackoff) {}
