package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * How weights are brought to the endpoints of a pool.
 *
 * @param servingFloor The share of the endpoints that keeps serving while others load weights.
 * @param orderTimeout The longest flight of an order to an endpoint.
 * @param readBackInterval The interval at which the true versions of the endpoints are read back.
 * @param retryBackoff The pause after a failed swap of an endpoint, which doubles with each further failure.
 */
public record WeightSettings(
        @Setting(
                        description = "The share of the endpoints that keeps serving while others load weights.",
                        defaultValue = "0.5",
                        minimum = "0",
                        maximum = "1")
                double servingFloor,
        @Setting(
                        description = "The longest flight of an order to an endpoint.",
                        defaultValue = "10s",
                        minimum = "100ms",
                        maximum = "10m")
                Duration orderTimeout,
        @Setting(
                        description = "The interval at which the true versions of the endpoints are read back.",
                        defaultValue = "2s",
                        minimum = "50ms",
                        maximum = "5m")
                Duration readBackInterval,
        @Setting(
                        description =
                                "The pause after a failed swap of an endpoint, which doubles with each further failure.",
                        defaultValue = "1s",
                        minimum = "50ms",
                        maximum = "5m")
                Duration retryBackoff) {}
