package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * How much work a pool takes.
 *
 * @param initialConcurrency The number of requests that a node has in progress at an endpoint before it has learned its
 *     limit.
 * @param maximumConcurrency The largest number of requests that a node has in progress at an endpoint.
 * @param queueLength The largest number of requests that wait on a node for the pool.
 * @param defaultDeadline The time that a request may take if its caller gives no deadline.
 */
public record LimitSettings(
        @Setting(
                        description =
                                "The number of requests that a node has in progress at an endpoint before it has learned its limit.",
                        defaultValue = "8",
                        minimum = "1",
                        maximum = "4096")
                int initialConcurrency,
        @Setting(
                        description = "The largest number of requests that a node has in progress at an endpoint.",
                        defaultValue = "64",
                        minimum = "1",
                        maximum = "4096")
                int maximumConcurrency,
        @Setting(
                        description = "The largest number of requests that wait on a node for the pool.",
                        defaultValue = "256",
                        minimum = "0",
                        maximum = "65536")
                int queueLength,
        @Setting(
                        description = "The time that a request may take if its caller gives no deadline.",
                        defaultValue = "60s",
                        minimum = "10ms",
                        maximum = "1h")
                Duration defaultDeadline) {}
